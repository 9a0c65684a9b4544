package org.persimmonwalk.observation;

import java.util.Objects;
import java.util.Optional;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.RowValue;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.model.TableRow;

/** A row was read; the value is absent if the row is. The read started at the given time. */
public record TableRowRead(
    TableRow row, RowVersion version, Optional<RowValue> value, MonotonicTime startedAt)
    implements Observation {

  /** Checks that all parts are present. */
  public TableRowRead {
    Objects.requireNonNull(row, "row");
    Objects.requireNonNull(version, "version");
    Objects.requireNonNull(value, "value");
    Objects.requireNonNull(startedAt, "startedAt");
  }
}
