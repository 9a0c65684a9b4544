package org.persimmonwalk.internal.admin;

/** One path of the administration interface. */
public interface AdminResource {

  /** Returns the HTTP method that the path accepts. */
  String method();

  /** Returns the path, for example {@code /state}. */
  String path();

  /** Returns whether the path is served without the operator token. */
  default boolean isPublic() {
    return false;
  }

  /** Carries out the request. */
  AdminAnswer answer();
}
