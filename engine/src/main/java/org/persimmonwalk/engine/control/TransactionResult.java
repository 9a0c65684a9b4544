package org.persimmonwalk.engine.control;

/** How a transaction ended. */
public enum TransactionResult {
  /** All expected versions matched and all rows were written. */
  APPLIED,
  /** An expected version did not match; nothing was written. */
  CONFLICT,
  /** The store refused the call; nothing was written. */
  REFUSED,
  /** No answer arrived; the rows may be written, now or later. */
  UNKNOWN
}
