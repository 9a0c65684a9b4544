package org.persimmonwalk.internal.admin;

import java.util.List;
import org.persimmonwalk.result.ResultCode;
import org.tinylog.Logger;

/** Checks who asks, and passes requests to the resource of their path. */
final class AdminRouter {
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int METHOD_NOT_ALLOWED = 405;
  private static final int SERVER_ERROR = 500;

  private final OperatorAccess access;
  private final List<AdminResource> resources;

  private AdminRouter(OperatorAccess access, List<AdminResource> resources) {
    this.access = access;
    this.resources = List.copyOf(resources);
  }

  static AdminRouter of(OperatorAccess access, List<AdminResource> resources) {
    return new AdminRouter(access, resources);
  }

  /** Returns the answer; a request that is refused has no effect. */
  AdminAnswer answer(AdminRequest request) {
    List<AdminResource> samePath =
        resources.stream().filter(resource -> resource.path().equals(request.path())).toList();
    boolean open = !samePath.isEmpty() && samePath.stream().allMatch(AdminResource::isPublic);
    if (!(open ? access.permitsPublic(request) : access.permits(request))) {
      return AdminAnswer.error(
          UNAUTHORIZED,
          ResultCode.OPERATOR_REJECTED,
          "the operator token is wrong or missing; without a token in the settings only loopback"
              + " addresses are served");
    }
    if (samePath.isEmpty()) {
      return AdminAnswer.error(
          NOT_FOUND, ResultCode.NOT_FOUND, "this path does not exist; known are " + known());
    }
    return samePath.stream()
        .filter(resource -> resource.method().equals(request.method()))
        .findFirst()
        .map(AdminRouter::carryOut)
        .orElseGet(
            () ->
                AdminAnswer.error(
                    METHOD_NOT_ALLOWED,
                    ResultCode.NOT_FOUND,
                    "this path does not accept the method; known are " + known()));
  }

  private static AdminAnswer carryOut(AdminResource resource) {
    try {
      return resource.answer();
    } catch (RuntimeException e) {
      Logger.error(e, "{} {} failed", resource.method(), resource.path());
      return AdminAnswer.error(
          SERVER_ERROR, ResultCode.INTERNAL_ERROR, "an internal error happened; see the log");
    }
  }

  private String known() {
    return String.join(
        ", ",
        resources.stream().map(resource -> resource.method() + " " + resource.path()).toList());
  }
}
