package org.persimmonwalk.engine.control;

/** How a transaction ended. */
public enum TransactionResult {
  /** All conditions held and all writes were done. */
  APPLIED,
  /** A condition did not hold; nothing was done. */
  CONFLICT,
  /** The store refused the call; nothing was done. */
  REFUSED,
  /** No answer came; the writes may be done, now or later. */
  UNKNOWN
}
