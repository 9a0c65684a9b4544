package org.persimmonwalk.acknowledgement;

/** What a caller is told of a write that the primary has committed. */
public enum AcknowledgementOutcome {
  /** The write is at a replica as well and survives a promotion. */
  CONFIRMED,
  /** The write may be lost in a promotion; the caller must not take it as done or as not run. */
  UNKNOWN
}
