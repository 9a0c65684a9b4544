package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import org.persimmonwalk.model.MonotonicTime;

/** A moving average of latencies that returns to its initial value while none is measured. */
final class LatencyAverage {
  /** The weight of a new sample in the moving average. */
  private static final double NEW_SAMPLE_WEIGHT = 0.15;

  /**
   * Half-life of the difference from the initial latency, so that what has recovered is tried
   * again.
   */
  private static final double HALF_LIFE_SECONDS = 1.5;

  private static final double NANOS_PER_MILLI = 1e6;
  private static final double NANOS_PER_SECOND = 1e9;

  private final double initialMillis;
  private double millis;
  private MonotonicTime measuredAt;

  LatencyAverage(double initialMillis, MonotonicTime now) {
    this.initialMillis = initialMillis;
    this.millis = initialMillis;
    this.measuredAt = now;
  }

  void add(Duration latency, MonotonicTime now) {
    double current = millis(now);
    millis = current + NEW_SAMPLE_WEIGHT * (latency.toNanos() / NANOS_PER_MILLI - current);
    measuredAt = now;
  }

  double millis(MonotonicTime now) {
    double seconds = now.since(measuredAt).toNanos() / NANOS_PER_SECOND;
    double kept = Math.pow(0.5, seconds / HALF_LIFE_SECONDS);
    return initialMillis + (millis - initialMillis) * kept;
  }
}
