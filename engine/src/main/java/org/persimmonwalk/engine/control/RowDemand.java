package org.persimmonwalk.engine.control;

import java.util.Set;

/**
 * The rows that a controller wants to see.
 *
 * @param urgent whether work waits for them
 */
public record RowDemand(Set<RowKey> rows, boolean urgent) {

  /** No row is wanted. */
  public static final RowDemand NONE = new RowDemand(Set.of(), false);

  /** Makes the set immutable. */
  public RowDemand {
    rows = Set.copyOf(rows);
  }
}
