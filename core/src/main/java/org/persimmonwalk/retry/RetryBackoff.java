package org.persimmonwalk.retry;

import java.time.Duration;
import org.persimmonwalk.port.RandomSource;

/**
 * How long to wait before a retry: a random time below a bound that doubles with each attempt, so
 * that the statements that failed together do not come back together.
 */
public final class RetryBackoff {
  private static final int FIRST_BOUND_MICROSECONDS = 20_000;
  private static final int MAXIMUM_DOUBLINGS = 4;

  private final RandomSource random;

  private RetryBackoff(RandomSource random) {
    this.random = random;
  }

  /** Returns a backoff; it may be used by as many threads as the source of random numbers. */
  public static RetryBackoff of(RandomSource random) {
    return new RetryBackoff(random);
  }

  /**
   * Returns the time to wait.
   *
   * @param attempts how often the statement has been tried, at least 1
   */
  public Duration delay(int attempts) {
    int doublings = Math.min(MAXIMUM_DOUBLINGS, Math.max(0, attempts - 1));
    int microseconds = 1 + random.nextInt(FIRST_BOUND_MICROSECONDS << doublings);
    return Duration.ofNanos(microseconds * 1_000L);
  }
}
