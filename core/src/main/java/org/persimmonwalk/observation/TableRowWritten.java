package org.persimmonwalk.observation;

import java.util.Objects;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.model.TableRow;
import org.persimmonwalk.model.WriteOutcome;

/**
 * A compare-and-set of a row ended.
 *
 * @param row the row
 * @param outcome what is known of the write
 * @param version the version that the row has, as far as the answer states it
 * @param startedAt when the write started
 */
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
