package org.persimmonwalk.engine.control;

import org.persimmonwalk.model.MonotonicTime;

/**
 * The tokens of a workspace that this host may spend; one token admits one operation.
 *
 * @param epoch changes whenever all earlier tokens have expired
 * @param granted the tokens granted so far in this epoch
 * @param takenAt the start of the call that took or renewed the tokens
 * @param validUntil when the remaining tokens expire
 * @param scarceUntil until when operations are refused at once if no token is left, because the
 *     workspace is over its limit
 */
public record TokenGrant(
    long epoch,
    long granted,
    MonotonicTime takenAt,
    MonotonicTime validUntil,
    MonotonicTime scarceUntil) {

  // Written out: a record's own methods are linked at run time (docs/design/processor-time.md).
  @Override
  public boolean equals(Object other) {
    return this == other
        || (other instanceof TokenGrant that
            && epoch == that.epoch
            && granted == that.granted
            && takenAt.equals(that.takenAt)
            && validUntil.equals(that.validUntil)
            && scarceUntil.equals(that.scarceUntil));
  }

  @Override
  public int hashCode() {
    int hash = Long.hashCode(epoch);
    hash = 31 * hash + Long.hashCode(granted);
    hash = 31 * hash + takenAt.hashCode();
    hash = 31 * hash + validUntil.hashCode();
    hash = 31 * hash + scarceUntil.hashCode();
    return hash;
  }
}
