package org.persimmonwalk.engine;

/** Why a statement failed, as callers and backend servers tell it. */
public enum FailureCode {
  /** Too much is waiting; nothing ran. */
  OVERLOADED(true),
  /** The transaction was ended; nothing of it is kept. */
  ABORTED(true),
  /** The log lacks a position that was asked for; nothing ran. */
  BEHIND(true),
  /** The server is no primary; nothing is kept. */
  NOT_PRIMARY(true),
  /** The server is another one than expected; nothing ran. */
  WRONG_SERVER(true),
  /** The server has no connection left; nothing ran. */
  NO_CONNECTION_LEFT(true),
  /** A commit or write may or may not be kept. */
  OUTCOME_UNKNOWN(false),
  /** The time allowed ran out; the statement may have run. */
  TIMED_OUT(false),
  /** The server ran the statement and it failed. */
  FAILED(false),
  /** The prepared name is unknown; nothing ran. */
  UNKNOWN_NAME(false),
  /** The key opens no workspace. */
  KEY_REJECTED(false),
  /** No route has the database name. */
  UNKNOWN_DATABASE(false),
  /** The statement is not understood in this state; nothing ran. */
  MALFORMED(false);

  private final boolean nothingKept;

  FailureCode(boolean nothingKept) {
    this.nothingKept = nothingKept;
  }

  /** Returns whether the code promises that nothing of the caller's attempt is kept. */
  public boolean nothingKept() {
    return nothingKept;
  }
}
