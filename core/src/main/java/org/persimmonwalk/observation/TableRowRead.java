package org.persimmonwalk.observation;

import java.util.Objects;
import java.util.Optional;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.RowValue;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.model.TableRow;

/**
 * A row of the table service was read.
 *
 * @param row the row
 * @param version the version of the row
 * @param value the content, absent if the row does not exist
 * @param startedAt when the read started
 */
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
