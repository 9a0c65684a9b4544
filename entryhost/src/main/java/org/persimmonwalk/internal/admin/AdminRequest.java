package org.persimmonwalk.internal.admin;

import java.net.InetAddress;
import java.util.Objects;
import java.util.Optional;

/**
 * A request to the administration interface.
 *
 * @param method the HTTP method, for example {@code GET}
 * @param path the path without the query
 * @param remote the address of the client
 * @param authorization the value of the header {@code Authorization}, if present
 */
public record AdminRequest(
    String method, String path, InetAddress remote, Optional<String> authorization) {

  /** Checks that all parts are present. */
  public AdminRequest {
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(remote, "remote");
    Objects.requireNonNull(authorization, "authorization");
  }
}
