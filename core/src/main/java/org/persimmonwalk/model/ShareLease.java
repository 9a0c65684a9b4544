package org.persimmonwalk.model;

import java.util.Objects;

/**
 * This host's part of a workspace's rate and burst.
 *
 * @param rate statements per second that this host may admit
 * @param burst statements that this host may admit at once
 * @param end when the lease ends on the monotonic clock of this host
 * @param order the newest movement of tokens
 */
public record ShareLease(double rate, double burst, MonotonicTime end, TokenOrder order) {

  /** Checks that the rate and the burst are not negative. */
  public ShareLease {
    Objects.requireNonNull(end, "end");
    Objects.requireNonNull(order, "order");
    if (!(rate >= 0) || !(burst >= 0)) {
      throw new IllegalArgumentException("a lease needs a rate and a burst of at least 0");
    }
  }

  /** Returns a lease with the given limits. */
  public static ShareLease of(double rate, double burst, MonotonicTime end, TokenOrder order) {
    return new ShareLease(rate, burst, end, order);
  }
}
