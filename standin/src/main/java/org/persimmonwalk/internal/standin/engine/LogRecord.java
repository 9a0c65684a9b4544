package org.persimmonwalk.internal.standin.engine;

import java.util.List;
import org.persimmonwalk.model.LogPosition;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.Term;

/**
 * A committed transaction in the replication log.
 *
 * @param term the term of the primary that wrote the record
 * @param end the position after the record
 * @param committedAt the time of the commit
 * @param changes the changes of the transaction, in the order made
 */
record LogRecord(Term term, LogPosition end, MonotonicTime committedAt, List<Change> changes) {

  /** Returns a record that starts at the given position. */
  static LogRecord after(
      Term term, LogPosition start, MonotonicTime committedAt, List<Change> changes) {
    int bytes = changes.stream().mapToInt(Change::logBytes).sum();
    return new LogRecord(
        term, LogPosition.of(start.bytes() + bytes), committedAt, List.copyOf(changes));
  }
}
