package org.persimmonwalk.engine;

/** The transaction state of a session or backend connection. */
public enum SessionState {
  /** No transaction is open. */
  IDLE,
  /** A transaction is open. */
  IN_TRANSACTION,
  /** The transaction failed; the caller has to end it. */
  FAILED_TRANSACTION
}
