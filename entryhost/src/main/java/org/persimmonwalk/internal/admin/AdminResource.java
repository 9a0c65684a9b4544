package org.persimmonwalk.internal.admin;

/** Handles one method and path of the administration interface, on the thread of the server. */
public interface AdminResource {

  /** Returns the HTTP method that this resource handles, for example {@code GET}. */
  String method();

  /** Returns the path, for example {@code /state}. */
  String path();

  /** Returns whether the path needs no operator token, even if one is configured. */
  default boolean isPublic() {
    return false;
  }

  /** Handles a request and returns the response. */
  AdminResponse handle();
}
