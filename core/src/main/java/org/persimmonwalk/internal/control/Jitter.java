package org.persimmonwalk.internal.control;

import java.time.Duration;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.model.MonotonicTime;

/** Adds random offsets to the times of periodic work, so that many hosts do not work at once. */
public final class Jitter {

  private Jitter() {}

  /** Returns the current time plus the interval, moved by up to a fifth of it earlier or later. */
  public static MonotonicTime after(RoundContext context, Duration interval) {
    int maxOffset = Math.toIntExact(interval.toMillis() / 5);
    int offset = context.random().nextInt(2 * maxOffset + 1) - maxOffset;
    return context.now().plus(interval).plus(Duration.ofMillis(offset));
  }

  /** Returns a random time between now and the end of the interval. */
  public static MonotonicTime within(RoundContext context, Duration interval) {
    int offset = context.random().nextInt(Math.toIntExact(interval.toMillis()) + 1);
    return context.now().plus(Duration.ofMillis(offset));
  }
}
