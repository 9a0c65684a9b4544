package org.persimmonwalk.engine.control;

import java.util.Set;

/**
 * The rows that a verification should read in addition to its own.
 *
 * @param urgent whether operations wait for them
 */
public record RowDemand(Set<RowKey> rows, boolean urgent) {

  /** No additional rows. */
  public static final RowDemand NONE = new RowDemand(Set.of(), false);

  /** Makes the set immutable. */
  public RowDemand {
    rows = Set.copyOf(rows);
  }
}
