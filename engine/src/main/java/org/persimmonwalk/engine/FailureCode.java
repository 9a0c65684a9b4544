package org.persimmonwalk.engine;

import java.util.Arrays;
import java.util.Optional;

/** Why a statement failed, as reported to callers and by backend servers. */
public enum FailureCode {
  /** The rate limit is used up or too many statements are queued; nothing ran. */
  OVERLOADED(
      7101, true, "the rate limit is used up or too many statements are queued; nothing ran"),
  /** The transaction was aborted; none of its changes are kept. */
  ABORTED(7102, true, "the transaction was aborted; none of its changes are kept"),
  /** The server has not reached the required log position; nothing ran. */
  BEHIND(7103, true, "the server has not reached the required log position; nothing ran"),
  /** The server is not a primary; no changes are kept. */
  NOT_PRIMARY(7104, true, "the server is not a primary; no changes are kept"),
  /** The server is not the expected one; nothing ran. */
  WRONG_SERVER(7105, true, "the server is not the expected one; nothing ran"),
  /** The server has no connection left; nothing ran. */
  NO_CONNECTION_LEFT(7106, true, "the server has no connection left; nothing ran"),
  /** The outcome of a write or COMMIT is unknown: it may or may not have been committed. */
  OUTCOME_UNKNOWN(7107, false, "the commit or write may or may not be kept"),
  /** The statement timed out; it may have run. */
  TIMED_OUT(7108, false, "the statement timed out; it may have run"),
  /** The server ran the statement and it failed. */
  FAILED(7109, false, "the server ran the statement and it failed"),
  /** No statement is prepared under the name; nothing ran. */
  UNKNOWN_NAME(7110, false, "no statement is prepared under the name; nothing ran"),
  /** The key belongs to no workspace; nothing ran. */
  KEY_REJECTED(7111, false, "the key belongs to no workspace; nothing ran"),
  /** No route has the database name; nothing ran. */
  UNKNOWN_DATABASE(7112, false, "no route has the database name; nothing ran"),
  /** The statement is malformed or not allowed in the current state; nothing ran. */
  MALFORMED(
      7113, false, "the statement is malformed or not allowed in the current state; nothing ran");

  private final int number;
  private final boolean guaranteesNoEffect;
  private final String meaning;

  FailureCode(int number, boolean guaranteesNoEffect, String meaning) {
    this.number = number;
    this.guaranteesNoEffect = guaranteesNoEffect;
    this.meaning = meaning;
  }

  /** Returns the code with the given name; empty if there is none. */
  public static Optional<FailureCode> named(String name) {
    return Arrays.stream(values()).filter(code -> code.name().equals(name)).findFirst();
  }

  /** Returns the label under which the table of result codes lists this code. */
  public String label() {
    return "PW-" + number;
  }

  /** Returns what happened, in one line. */
  public String meaning() {
    return meaning;
  }

  /** Returns whether the code guarantees that the statement, or its transaction, had no effect. */
  public boolean guaranteesNoEffect() {
    return guaranteesNoEffect;
  }
}
