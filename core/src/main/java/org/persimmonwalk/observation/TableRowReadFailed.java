package org.persimmonwalk.observation;

import java.util.Objects;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.TableRow;

/** The read of a row that started at the given time failed. */
public record TableRowReadFailed(TableRow row, MonotonicTime startedAt) implements Observation {
  /** Checks that both parts are present. */
  public TableRowReadFailed {
    Objects.requireNonNull(row, "row");
    Objects.requireNonNull(startedAt, "startedAt");
  }
}
