package org.persimmonwalk.admission;

import java.time.Duration;

/**
 * Adapts the number of concurrent statements to the queueing delay inside the backend server.
 *
 * <p>The excess of a statement is its duration minus the shortest recent duration of its class. If
 * even the fastest statement of a window has an excess, the server has a standing queue, and the
 * host reduces its slots by a fixed factor. Otherwise it adds a fixed amount. All hosts observe the
 * same server, so this additive increase and multiplicative decrease converges to equal shares
 * without messages between hosts. Below one slot per host, statement starts are spaced out instead.
 */
public final class AdaptiveLimit implements ConcurrencyLimit {
  /**
   * Statements per adjustment. With fewer, the fastest one is a poor indicator of a standing queue.
   */
  private static final int WINDOW_STATEMENTS = 12;

  /**
   * The smallest excess in a window, relative to the mean duration, above which the server is
   * assumed to have a standing queue. Exponential service times give 1 / 12 without any queue.
   */
  private static final double STANDING_QUEUE_EXCESS = 0.25;

  /** Applied once per window with a standing queue. Small steps keep the limit from oscillating. */
  private static final double DECREASE_FACTOR = 0.92;

  /**
   * Added once per window without a standing queue. It is a tenth of a host's equal share if 20
   * hosts share 2 slots.
   */
  private static final double SLOT_INCREMENT = 0.01;

  /** Lower bound that still lets a statement start occasionally, to keep measuring durations. */
  private static final double MINIMUM_SLOTS = 0.02;

  private final double maximumSlots;
  private double slots = 1;
  private int samples;
  private long leastExcess = Long.MAX_VALUE;
  private long totalDuration;
  private boolean anyWaiting;

  private AdaptiveLimit(double maximumSlots) {
    this.maximumSlots = maximumSlots;
  }

  /** Returns a limit that starts at 1 slot and never exceeds the given maximum. */
  public static AdaptiveLimit of(int maximum) {
    return new AdaptiveLimit(maximum);
  }

  @Override
  public int limit() {
    return Math.max(1, (int) slots);
  }

  @Override
  public Duration spacing(Duration cost) {
    return slots >= 1 ? Duration.ZERO : Duration.ofNanos((long) (cost.toNanos() / slots));
  }

  /** Returns how many statements this host may keep in flight on average; it may be below 1. */
  public double slots() {
    return slots;
  }

  @Override
  public void record(Duration duration, Duration minimum, boolean waiting) {
    samples++;
    leastExcess = Math.min(leastExcess, Math.max(0, duration.minus(minimum).toNanos()));
    totalDuration += duration.toNanos();
    anyWaiting |= waiting;
    if (samples >= WINDOW_STATEMENTS) {
      adjust((double) leastExcess * samples / totalDuration);
      samples = 0;
      leastExcess = Long.MAX_VALUE;
      totalDuration = 0;
      anyWaiting = false;
    }
  }

  private void adjust(double relativeExcess) {
    if (relativeExcess > STANDING_QUEUE_EXCESS) {
      slots = Math.max(MINIMUM_SLOTS, slots * DECREASE_FACTOR);
    } else if (anyWaiting || slots < 1) {
      slots = Math.min(maximumSlots, slots + SLOT_INCREMENT);
    }
  }
}
