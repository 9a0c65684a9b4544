package org.persimmonwalk.internal.standin.engine;

import java.util.List;
import org.persimmonwalk.model.LogPosition;
import org.persimmonwalk.model.MonotonicTime;

/**
 * A committed transaction in the log.
 *
 * @param end the position after the record
 * @param committedAt the time of the commit
 * @param changes the changes in their order
 */
record LogRecord(LogPosition end, MonotonicTime committedAt, List<Change> changes) {

  /** Returns the record that follows the given position. */
  static LogRecord after(LogPosition start, MonotonicTime committedAt, List<Change> changes) {
    int bytes = changes.stream().mapToInt(Change::logBytes).sum();
    return new LogRecord(LogPosition.of(start.bytes() + bytes), committedAt, List.copyOf(changes));
  }
}
