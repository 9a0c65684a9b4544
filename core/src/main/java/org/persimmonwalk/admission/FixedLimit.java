package org.persimmonwalk.admission;

import java.time.Duration;

/** A limit that never changes. Benchmarks use it as the baseline for {@link AdaptiveLimit}. */
public final class FixedLimit implements ConcurrencyLimit {
  private final int limit;

  private FixedLimit(int limit) {
    this.limit = limit;
  }

  /**
   * Returns the given limit.
   *
   * @throws IllegalArgumentException if the limit is below 1
   */
  public static FixedLimit of(int limit) {
    if (limit < 1) {
      throw new IllegalArgumentException("concurrency limit " + limit + " must be at least 1");
    }
    return new FixedLimit(limit);
  }

  @Override
  public int limit() {
    return limit;
  }

  @Override
  public Duration spacing(Duration cost) {
    return Duration.ZERO;
  }

  @Override
  public void record(Duration duration, Duration minimum, boolean waiting) {
    // A fixed limit ignores measurements.
  }
}
