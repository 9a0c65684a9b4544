package org.persimmonwalk.model;

import java.util.Objects;

/**
 * The result of a compare-and-set of a table row.
 *
 * @param outcome whether the row was written
 * @param version the version of the row, if the answer contains it
 */
public record WriteResult(WriteOutcome outcome, RowVersion version) {

  /** Checks that both parts are present. */
  public WriteResult {
    Objects.requireNonNull(outcome, "outcome");
    Objects.requireNonNull(version, "version");
  }

  /** Returns the result with the given parts. */
  public static WriteResult of(WriteOutcome outcome, RowVersion version) {
    return new WriteResult(outcome, version);
  }
}
