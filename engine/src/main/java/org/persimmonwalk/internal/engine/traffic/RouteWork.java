package org.persimmonwalk.internal.engine.traffic;

import org.persimmonwalk.model.MonotonicTime;

/** Estimates how long the statements of a route take at an idle server, from their latencies. */
final class RouteWork {
  /** A shorter latency than the estimate shows that the server was less busy before. */
  private static final double SHORTER_SAMPLE_WEIGHT = 0.3;

  /**
   * The rise while all latencies are longer. A queue that lasts for a minute must not be taken for
   * work, and work that has become slower must be learned at last.
   */
  private static final double RISE_MILLIS_PER_SECOND = 0.3;

  private static final double NANOS_PER_SECOND = 1e9;

  private double millis;
  private MonotonicTime sampledAt;

  /** Adds a latency and returns the estimate. */
  double add(double latencyMillis, MonotonicTime now) {
    if (sampledAt == null) {
      millis = latencyMillis;
    } else if (latencyMillis < millis) {
      millis += SHORTER_SAMPLE_WEIGHT * (latencyMillis - millis);
    } else {
      double seconds = now.since(sampledAt).toNanos() / NANOS_PER_SECOND;
      millis = Math.min(latencyMillis, millis + RISE_MILLIS_PER_SECOND * Math.min(1, seconds));
    }
    sampledAt = now;
    return millis;
  }

  /** Returns the estimate; 0 before the first latency. */
  double millis() {
    return millis;
  }
}
