package org.persimmonwalk.engine.control;

import java.util.Set;

/** The rows that a verification should read in addition to its own. */
public record RowDemand(Set<RowKey> rows) {

  /** No additional rows. */
  public static final RowDemand NONE = new RowDemand(Set.of());

  /** Makes the set immutable. */
  public RowDemand {
    rows = Set.copyOf(rows);
  }

  // Written out: a record's own methods are linked at run time (docs/design/processor-time.md).
  @Override
  public boolean equals(Object other) {
    return this == other || (other instanceof RowDemand that && rows.equals(that.rows));
  }

  @Override
  public int hashCode() {
    return rows.hashCode();
  }
}
