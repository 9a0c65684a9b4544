package org.persimmonwalk.retry;

import java.time.Duration;
import org.persimmonwalk.port.RandomSource;

/**
 * Exponential backoff with full jitter: a random delay below a bound that doubles with each
 * attempt, so that statements that failed together are not retried together.
 */
public final class RetryBackoff {
  private static final int FIRST_BOUND_MICROSECONDS = 20_000;
  private static final int MAXIMUM_DOUBLINGS = 4;

  private final RandomSource random;

  private RetryBackoff(RandomSource random) {
    this.random = random;
  }

  /** Returns a backoff. It is thread-safe if the source of random numbers is. */
  public static RetryBackoff of(RandomSource random) {
    return new RetryBackoff(random);
  }

  /**
   * Returns the time to wait before the next attempt.
   *
   * @param attempts how many times the statement has been tried, at least 1
   */
  public Duration delay(int attempts) {
    int doublings = Math.min(MAXIMUM_DOUBLINGS, Math.max(0, attempts - 1));
    int microseconds = 1 + random.nextInt(FIRST_BOUND_MICROSECONDS << doublings);
    return Duration.ofNanos(microseconds * 1_000L);
  }
}
