package org.persimmonwalk.model;

import java.util.Objects;
import java.util.Optional;

/**
 * The result of reading a table row.
 *
 * @param version the version of the row, {@link RowVersion#ABSENT} if the row does not exist
 * @param value the content, empty if the row does not exist
 */
public record VersionedRow(RowVersion version, Optional<RowValue> value) {

  /** Checks that both parts are present. */
  public VersionedRow {
    Objects.requireNonNull(version, "version");
    Objects.requireNonNull(value, "value");
  }

  /** Returns a row with the given content. */
  public static VersionedRow of(RowVersion version, RowValue value) {
    return new VersionedRow(version, Optional.of(value));
  }

  /** Returns the result of reading a row that does not exist. */
  public static VersionedRow absent() {
    return new VersionedRow(RowVersion.ABSENT, Optional.empty());
  }
}
