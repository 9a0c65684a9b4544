package org.persimmonwalk.retry;

/** How far a statement had progressed when its backend connection was lost. */
public enum StatementPhase {
  /** No byte of the statement was written to the connection. */
  NOT_SENT,
  /**
   * The statement was sent in an open transaction, and nothing sent so far can commit it. A message
   * that may contain several statements does not count as this phase, since one of them may commit.
   */
  SENT_IN_TRANSACTION,
  /** The statement was sent outside a transaction, or may commit on its own. */
  SENT_OUTSIDE_TRANSACTION,
  /** The statement that ends the transaction was sent. */
  COMMIT_SENT,
  /**
   * This host received part of the answer, and no open transaction keeps the effect uncommitted.
   */
  ANSWER_STARTED
}
