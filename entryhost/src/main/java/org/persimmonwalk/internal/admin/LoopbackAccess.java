package org.persimmonwalk.internal.admin;

/** Serves processes on the same machine. */
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
