package org.persimmonwalk.acknowledgement;

/** The outcome that is reported for a write that the primary has committed. */
public enum AcknowledgementOutcome {
  /**
   * The write may be acknowledged. With {@link ReplicatedAcknowledgement}, a replica has received
   * it, so that it survives a promotion, or the group has only one server.
   */
  CONFIRMED,
  /**
   * A promotion may lose the write; the caller must assume neither that it ran nor that it did not.
   */
  UNKNOWN
}
