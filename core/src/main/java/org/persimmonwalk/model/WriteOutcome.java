package org.persimmonwalk.model;

/** How a compare-and-set of a table row ended. */
public enum WriteOutcome {
  /** The row has the new value. */
  WRITTEN,
  /** The row had another version; nothing was written. */
  CONFLICT,
  /** The table service did not take the request; nothing was written. */
  UNAVAILABLE,
  /** The answer was lost; the row may have the new value now or later. */
  UNKNOWN
}
