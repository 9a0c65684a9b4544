package org.persimmonwalk.observation;

import java.util.Objects;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.model.TableRow;
import org.persimmonwalk.model.WriteOutcome;

/** A compare-and-set that started at the given time ended; the version counts if it was written. */
public record TableRowWritten(
    TableRow row, WriteOutcome outcome, RowVersion version, MonotonicTime startedAt)
    implements Observation {

  /** Checks that all parts are present. */
  public TableRowWritten {
    Objects.requireNonNull(row, "row");
    Objects.requireNonNull(outcome, "outcome");
    Objects.requireNonNull(version, "version");
    Objects.requireNonNull(startedAt, "startedAt");
  }
}
