package org.persimmonwalk.internal.control.lease;

import java.util.OptionalDouble;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ShareRequest;

/** What the units of a row are used for at this host, and how much of them it needs. */
public interface LeasedUse {

  /** Returns the units that all hosts together may use. */
  long total();

  /** Returns the demand at this host, in statements per second or connections. */
  double demand();

  /** Returns whether this host should ask peers for units. */
  boolean isShort(long held);

  /** Returns the tokens for which a request to each of some peers reserves room, or 0. */
  double tokensToAsk(long held, int peers, MonotonicTime now);

  /** Returns the units to give to a peer that asks, out of those held. */
  long unitsToGive(long held, ShareRequest request);

  /** Starts to give up the given units and tokens; the use of the units ends with this round. */
  void release(long units, double tokens);

  /**
   * Returns the tokens that were withdrawn since {@link #release}, as soon as no more than the
   * given units are in use; empty until then.
   */
  OptionalDouble released(long held);

  /** Returns the room for tokens that comes with the given units. */
  double tokensIn(long units);

  /** Adds tokens that a peer has withdrawn. */
  void deposit(double tokens);

  /** Returns the units that may be in use although the lease was lowered in this round. */
  long inUse();

  /** Returns the demand at a peer, in the unit of {@link #demand}. */
  double peerDemand(EntryHostId peer);
}
