package org.persimmonwalk.observation;

import java.util.Objects;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.TableRow;

/** A read of a row that started at the given time got no answer. */
public record TableRowReadFailed(TableRow row, MonotonicTime startedAt) implements Observation {

  /** Checks that all parts are present. */
  public TableRowReadFailed {
    Objects.requireNonNull(row, "row");
    Objects.requireNonNull(startedAt, "startedAt");
  }
}
