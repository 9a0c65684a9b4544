package org.persimmonwalk.model;

/** What is known of a compare-and-set of a row. */
public enum WriteOutcome {
  /** The row has the new content. */
  WRITTEN,
  /** The row had another version than expected and is unchanged. */
  CONFLICT,
  /** The request was not carried out. */
  UNAVAILABLE,
  /** The request may have been carried out, and may still be. */
  UNKNOWN
}
