package org.persimmonwalk.engine;

/** What a session or backend connection is in. */
public enum SessionState {
  /** No transaction. */
  IDLE,
  /** An open transaction. */
  IN_TRANSACTION,
  /** A transaction that failed and must be ended. */
  FAILED_TRANSACTION
}
