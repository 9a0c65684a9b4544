package org.persimmonwalk.model;

import java.util.Objects;

/**
 * The result of a compare-and-set.
 *
 * @param outcome what happened
 * @param version the version that the row has, as far as the answer states it
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
