package org.persimmonwalk.admission;

import java.time.Duration;

/**
 * Follows the time that statements wait inside the backend server.
 *
 * <p>The excess of a statement is its duration beyond the shortest recent one of its class. A
 * standing queue in the server shows as an excess of even the fastest of a window of statements. In
 * that case the host takes a fixed fraction less; otherwise it takes a fixed amount more. All hosts
 * see the same server, so additive increase and multiplicative decrease bring them to equal parts
 * without messages. Below one slot per host, starts are spaced out instead.
 */
public final class AdaptiveLimit implements ConcurrencyLimit {
  /** Statements per decision; with fewer the fastest one says little about a standing queue. */
  private static final int WINDOW = 12;

  /**
   * The least excess of a window, relative to its mean duration, from which on the server has a
   * standing queue. Exponential service times give 1 / 12 without any queue.
   */
  private static final double STANDING_QUEUE = 0.25;

  /** Factor per window with a standing queue; small steps keep the limit from oscillating. */
  private static final double DECREASE = 0.92;

  /** Slots per window without one; a tenth of the even part of a host at 2 slots and 20 hosts. */
  private static final double INCREASE = 0.01;

  /** Keeps a statement going now and then, so that the measurement goes on. */
  private static final double MINIMUM_SLOTS = 0.02;

  private final double maximumSlots;
  private double slots = 1;
  private int samples;
  private long leastExcess = Long.MAX_VALUE;
  private long totalDuration;
  private boolean waited;

  private AdaptiveLimit(double maximumSlots) {
    this.maximumSlots = maximumSlots;
  }

  /** Returns a limit that starts at 1 and does not exceed the given maximum. */
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

  /** Returns the number of slots that this host uses at most on average. */
  public double slots() {
    return slots;
  }

  @Override
  public void record(Duration duration, Duration minimum, boolean waiting) {
    samples++;
    leastExcess = Math.min(leastExcess, Math.max(0, duration.minus(minimum).toNanos()));
    totalDuration += duration.toNanos();
    waited |= waiting;
    if (samples >= WINDOW) {
      decide((double) leastExcess * samples / totalDuration);
      samples = 0;
      leastExcess = Long.MAX_VALUE;
      totalDuration = 0;
      waited = false;
    }
  }

  private void decide(double relativeExcess) {
    if (relativeExcess > STANDING_QUEUE) {
      slots = Math.max(MINIMUM_SLOTS, slots * DECREASE);
    } else if (waited || slots < 1) {
      slots = Math.min(maximumSlots, slots + INCREASE);
    }
  }
}
