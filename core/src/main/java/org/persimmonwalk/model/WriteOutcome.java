package org.persimmonwalk.model;

/** The outcome of a compare-and-set of a table row, as far as the caller knows it. */
public enum WriteOutcome {
  /** The row has the new content. */
  WRITTEN,
  /** The row did not have the expected version and is unchanged. */
  CONFLICT,
  /** The request was not carried out. */
  UNAVAILABLE,
  /** The request may have been carried out, or may still be carried out later. */
  UNKNOWN
}
