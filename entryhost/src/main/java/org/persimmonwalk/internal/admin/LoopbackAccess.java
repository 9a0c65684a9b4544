package org.persimmonwalk.internal.admin;

/** Permits requests from the same machine only; used if no operator token is configured. */
final class LoopbackAccess implements OperatorAccess {

  private LoopbackAccess() {}

  static LoopbackAccess create() {
    return new LoopbackAccess();
  }

  @Override
  public boolean permits(AdminRequest request) {
    return request.remote().isLoopbackAddress();
  }

  @Override
  public boolean permitsPublic(AdminRequest request) {
    return permits(request);
  }
}
