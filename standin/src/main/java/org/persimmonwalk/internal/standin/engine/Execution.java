package org.persimmonwalk.internal.standin.engine;

import java.util.List;
import java.util.Objects;

/** The outcome of a statement that did not fail: an answer, or a wait for a row lock. */
public sealed interface Execution {

  /**
   * The result of a statement that ran.
   *
   * @param columns the column names of the result, or null if the statement returns no rows
   * @param rows the rows of the result
   * @param tag the command tag, empty for an empty statement
   */
  record Answer(List<String> columns, List<List<String>> rows, String tag) implements Execution {
    /** Checks that rows and tag are present. */
    public Answer {
      Objects.requireNonNull(rows, "rows");
      Objects.requireNonNull(tag, "tag");
    }

    /** Returns the answer of a statement that returns no rows. */
    static Answer ofTag(String tag) {
      return new Answer(null, List.of(), tag);
    }

    /** Returns the answer of a query. */
    static Answer ofRows(List<String> columns, List<List<String>> rows) {
      return new Answer(columns, rows, "SELECT " + rows.size());
    }
  }

  /**
   * The statement has not run, because another session's transaction has locked one of its rows.
   */
  record LockWait(Session holder) implements Execution {}
}
