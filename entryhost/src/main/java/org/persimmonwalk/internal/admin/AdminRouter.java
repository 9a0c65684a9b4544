package org.persimmonwalk.internal.admin;

import java.util.List;
import org.persimmonwalk.result.ResultCode;
import org.tinylog.Logger;

/** Authorizes requests and passes each to the resource with its method and path. */
final class AdminRouter {
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int METHOD_NOT_ALLOWED = 405;
  private static final int INTERNAL_SERVER_ERROR = 500;

  private final OperatorAccess access;
  private final List<AdminResource> resources;

  private AdminRouter(OperatorAccess access, List<AdminResource> resources) {
    this.access = access;
    this.resources = List.copyOf(resources);
  }

  static AdminRouter of(OperatorAccess access, List<AdminResource> resources) {
    return new AdminRouter(access, resources);
  }

  /** Returns the response; a rejected request has no effect. */
  AdminResponse route(AdminRequest request) {
    List<AdminResource> samePath =
        resources.stream().filter(resource -> resource.path().equals(request.path())).toList();
    boolean isPublic = !samePath.isEmpty() && samePath.stream().allMatch(AdminResource::isPublic);
    if (!(isPublic ? access.permitsPublic(request) : access.permits(request))) {
      return AdminResponse.error(
          UNAUTHORIZED,
          ResultCode.OPERATOR_REJECTED,
          "the operator token is wrong or missing; if the setting admin.token is not set, only"
              + " requests from loopback addresses are accepted");
    }
    if (samePath.isEmpty()) {
      return AdminResponse.error(
          NOT_FOUND,
          ResultCode.NOT_FOUND,
          "path " + request.path() + " does not exist; available: " + availableResources());
    }
    return samePath.stream()
        .filter(resource -> resource.method().equals(request.method()))
        .findFirst()
        .map(AdminRouter::handle)
        .orElseGet(
            () ->
                AdminResponse.error(
                    METHOD_NOT_ALLOWED,
                    ResultCode.NOT_FOUND,
                    "path "
                        + request.path()
                        + " does not accept "
                        + request.method()
                        + "; available: "
                        + availableResources()));
  }

  private static AdminResponse handle(AdminResource resource) {
    try {
      return resource.handle();
    } catch (RuntimeException e) {
      Logger.error(e, "admin request {} {} failed", resource.method(), resource.path());
      return AdminResponse.error(
          INTERNAL_SERVER_ERROR,
          ResultCode.INTERNAL_ERROR,
          "an internal error occurred; see the log of this host");
    }
  }

  private String availableResources() {
    return String.join(
        ", ",
        resources.stream().map(resource -> resource.method() + " " + resource.path()).toList());
  }
}
