package org.persimmonwalk.model;

import java.util.Objects;

/**
 * This host's lease on a part of the rate and burst of a workspace. The control thread publishes it
 * in a snapshot, and admission enforces it.
 *
 * @param rate statements per second that this host may admit
 * @param burst statements that this host may admit at once
 * @param end when the lease expires, on the monotonic clock of this host
 * @param order the newest order to add or remove tokens
 */
public record ShareLease(double rate, double burst, MonotonicTime end, TokenOrder order) {

  /** Checks that the rate and the burst are not negative. */
  public ShareLease {
    Objects.requireNonNull(end, "end");
    Objects.requireNonNull(order, "order");
    if (!(rate >= 0) || !(burst >= 0)) {
      throw new IllegalArgumentException(
          "a lease needs a rate and a burst of at least 0, not " + rate + " and " + burst);
    }
  }

  /** Returns a lease with the given limits. */
  public static ShareLease of(double rate, double burst, MonotonicTime end, TokenOrder order) {
    return new ShareLease(rate, burst, end, order);
  }
}
