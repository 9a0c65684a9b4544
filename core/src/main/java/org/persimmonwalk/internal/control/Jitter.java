package org.persimmonwalk.internal.control;

import java.time.Duration;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.model.MonotonicTime;

/** Spreads periodic work of many hosts over time. */
public final class Jitter {

  private Jitter() {}

  /** Returns the instant after the interval, up to a fifth of it earlier or later. */
  public static MonotonicTime after(RoundContext context, Duration interval) {
    int fifth = Math.toIntExact(interval.toMillis() / 5);
    int offset = context.random().nextInt(2 * fifth + 1) - fifth;
    return context.now().plus(interval).plus(Duration.ofMillis(offset));
  }

  /** Returns a random instant within the interval. */
  public static MonotonicTime within(RoundContext context, Duration interval) {
    int offset = context.random().nextInt(Math.toIntExact(interval.toMillis()) + 1);
    return context.now().plus(Duration.ofMillis(offset));
  }
}
