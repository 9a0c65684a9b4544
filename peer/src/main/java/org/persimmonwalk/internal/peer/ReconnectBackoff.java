package org.persimmonwalk.internal.peer;

import java.time.Duration;
import org.persimmonwalk.port.RandomSource;

/** Exponential backoff with jitter between attempts to connect to one peer. Not thread-safe. */
public final class ReconnectBackoff {
  private final Duration initial;
  private final Duration maximum;
  private final RandomSource random;
  private Duration next;

  private ReconnectBackoff(Duration initial, Duration maximum, RandomSource random) {
    this.initial = initial;
    this.maximum = maximum;
    this.random = random;
    this.next = initial;
  }

  /** Returns a backoff that starts with the initial delay and doubles it up to the maximum. */
  public static ReconnectBackoff of(Duration initial, Duration maximum, RandomSource random) {
    return new ReconnectBackoff(initial, maximum, random);
  }

  /**
   * Returns the delay before the next attempt. Half of it is random, so that hosts do not reconnect
   * all at once.
   */
  public Duration next() {
    Duration full = next;
    Duration doubled = full.multipliedBy(2);
    next = doubled.compareTo(maximum) > 0 ? maximum : doubled;
    long half = full.toMillis() / 2;
    int jitter = random.nextInt(Math.toIntExact(full.toMillis() - half) + 1);
    return Duration.ofMillis(half + jitter);
  }

  /** Goes back to the initial delay. */
  public void reset() {
    next = initial;
  }
}
