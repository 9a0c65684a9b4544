package org.persimmonwalk.engine.control;

import java.util.Objects;

/** Names the purpose of a transaction, so that its answer finds the controller that asked. */
public record TransactionTag(String purpose, long serial) {

  /** Checks that the purpose is present. */
  public TransactionTag {
    Objects.requireNonNull(purpose, "purpose");
  }

  /** Returns the tag of the given attempt. */
  public static TransactionTag of(String purpose, long serial) {
    return new TransactionTag(purpose, serial);
  }
}
