package org.persimmonwalk.internal.admin;

import java.util.Optional;

/** Decides whether a request comes from an operator. */
public interface OperatorAccess {

  /** Returns whether the request may be carried out. */
  boolean permits(AdminRequest request);

  /** Returns whether the request may read what is served without a token. */
  boolean permitsPublic(AdminRequest request);

  /** Returns the rule for the given token: with none, only loopback addresses are served. */
  static OperatorAccess of(Optional<String> token) {
    return token.<OperatorAccess>map(TokenAccess::of).orElseGet(LoopbackAccess::create);
  }
}
