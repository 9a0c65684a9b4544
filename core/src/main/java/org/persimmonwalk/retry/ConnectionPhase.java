package org.persimmonwalk.retry;

/** How far a statement had come when its backend connection was lost. */
public enum ConnectionPhase {
  /** No byte of the statement was written to the connection. */
  NOT_SENT,
  /**
   * The statement was sent inside an open transaction that nothing sent so far can commit. A
   * message that may hold several statements does not belong here.
   */
  SENT_IN_TRANSACTION,
  /** The statement was sent outside a transaction, or may commit by itself. */
  SENT_OUTSIDE_TRANSACTION,
  /** The end of the transaction was sent. */
  COMMIT_SENT,
  /** A part of the answer reached this host, and no open transaction holds the effect back. */
  ANSWER_STARTED
}
