package org.persimmonwalk.internal.control.lease;

import java.util.OptionalDouble;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ShareRequest;

/**
 * What the units of one row stand for at this host: a share of a workspace's rate and burst, or
 * connections to a backend server.
 *
 * <p>{@link RowAllocation} calls it on the control thread to learn how many units this host needs,
 * and to withdraw units and tokens before they are sent to a peer. Tokens are statements in a rate
 * limiter's bucket; resources without a bucket have none.
 */
public interface LeasedResource {

  /** Returns the units that all hosts together may use, as configured. */
  long total();

  /** Returns the demand at this host, in statements per second or connections. */
  double demand();

  /** Returns whether this host should request units from peers, given the units that it holds. */
  boolean needsUnits(long held);

  /**
   * Returns the tokens to request from each of the given number of peers, or 0. A request reserves
   * room for them in the bucket.
   */
  double tokensToRequest(long held, int peers, MonotonicTime now);

  /** Returns the units to give to a requesting peer, out of those held. */
  long unitsToGive(long held, ShareRequest request);

  /**
   * Starts to withdraw units and tokens that are to be sent to a peer. The lowered limit is
   * published at the end of this round.
   */
  void startRelease(long units, double tokens);

  /**
   * Returns the tokens withdrawn since {@link #startRelease} once no more than the given units are
   * in use; empty until then.
   */
  OptionalDouble releasedTokens(long held);

  /** Returns how many tokens the bucket can hold for the given units. */
  double tokensFor(long units);

  /** Adds tokens received from a peer. */
  void deposit(double tokens);

  /** Returns the units that may still be in use, even if the limit was lowered in this round. */
  long inUse();

  /** Returns the last known demand at a peer, in the unit of {@link #demand}; 0 if unknown. */
  double peerDemand(EntryHostId peer);
}
