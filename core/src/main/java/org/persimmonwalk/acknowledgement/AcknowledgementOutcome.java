package org.persimmonwalk.acknowledgement;

/** The outcome that is reported for a write that the primary has committed. */
public enum AcknowledgementOutcome {
  /** A replica has received the write, so that it survives a promotion. */
  CONFIRMED,
  /**
   * A promotion may lose the write; the caller must assume neither that it ran nor that it did not.
   */
  UNKNOWN
}
