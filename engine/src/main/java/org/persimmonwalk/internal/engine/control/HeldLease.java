package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.OrderPromotion;
import org.persimmonwalk.engine.control.StoreVersion;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The promotion lease that this host has taken or is taking.
 *
 * @param rowVersion the version of the lease row that this host has written, or that it replaces
 *     while it takes the lease; a later one belongs to another holder
 * @param takenAt when the transaction that took the lease was submitted
 */
record HeldLease(long fencingToken, StoreVersion rowVersion, MonotonicTime takenAt) {
  /** The promotion lease expires after this time unless it is released before. */
  static final Duration DURATION = Duration.ofMillis(3500);

  /**
   * The promotion must be ordered within this time after taking the lease. It takes some hundred
   * milliseconds and must have taken effect before another host can hold the lease.
   */
  static final Duration ORDER_DEADLINE = Duration.ofMillis(1500);

  HeldLease written(StoreVersion version) {
    return new HeldLease(fencingToken, version, takenAt);
  }

  /** Returns whether the deadline for an order has passed. */
  boolean isTooOldToOrder(MonotonicTime now) {
    return now.since(takenAt).compareTo(ORDER_DEADLINE) >= 0;
  }

  /** Returns the order to promote a server under this lease. */
  OrderPromotion order(ServerEntry server, EntryHostId host) {
    return new OrderPromotion(server, host, fencingToken, takenAt, takenAt.plus(ORDER_DEADLINE));
  }

  boolean hasExpired(MonotonicTime now) {
    return now.since(takenAt).compareTo(DURATION) >= 0;
  }
}
