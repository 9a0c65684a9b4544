package org.persimmonwalk.internal.standin.engine;

import java.util.List;
import java.util.Objects;

/** What became of a statement that did not fail. */
public sealed interface Execution {

  /**
   * The statement ran.
   *
   * @param columns the columns of the result, or null if the statement has none
   * @param rows the rows of the result
   * @param tag the command tag, empty for an empty statement
   */
  record Answer(List<String> columns, List<List<String>> rows, String tag) implements Execution {
    /** Checks that rows and tag are present. */
    public Answer {
      Objects.requireNonNull(rows, "rows");
      Objects.requireNonNull(tag, "tag");
    }

    /** Returns the answer of a statement without a result. */
    static Answer ofTag(String tag) {
      return new Answer(null, List.of(), tag);
    }

    /** Returns the answer of a query. */
    static Answer ofRows(List<String> columns, List<List<String>> rows) {
      return new Answer(columns, rows, "SELECT " + rows.size());
    }
  }

  /** The statement has not run because another session's transaction holds a row. */
  record LockWait(Session holder) implements Execution {}
}
