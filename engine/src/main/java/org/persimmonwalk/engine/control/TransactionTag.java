package org.persimmonwalk.engine.control;

import java.util.Objects;

/** Identifies a transaction, so that the controller that submitted it recognizes its answer. */
public record TransactionTag(String purpose, long serial) {

  /** Checks that the purpose is present. */
  public TransactionTag {
    Objects.requireNonNull(purpose, "purpose");
  }

  /** Returns the tag with the given purpose and serial number. */
  public static TransactionTag of(String purpose, long serial) {
    return new TransactionTag(purpose, serial);
  }
}
