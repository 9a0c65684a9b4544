package org.persimmonwalk.internal.admin;

import java.util.Optional;

/** Decides which requests are permitted. */
public interface OperatorAccess {

  /** Returns whether the request may use a resource that is reserved for operators. */
  boolean permits(AdminRequest request);

  /** Returns whether the request may use a public resource, which needs no token. */
  boolean permitsPublic(AdminRequest request);

  /** Returns the check for the configured token; without one, only loopback is permitted. */
  static OperatorAccess of(Optional<String> token) {
    return token.<OperatorAccess>map(TokenAccess::of).orElseGet(LoopbackAccess::create);
  }
}
