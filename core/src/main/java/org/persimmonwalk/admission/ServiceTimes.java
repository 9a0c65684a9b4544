package org.persimmonwalk.admission;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.routing.StatementKind;

/**
 * Measured service times per workspace, kind and urgency. The queue takes the running mean as the
 * cost of a statement, so that a heavy statement counts for more than a short one. Guarded by the
 * lock of {@link ServerScheduler}.
 */
public final class ServiceTimes {
  /** A statement of which nothing is known counts like a short one. */
  static final Duration DEFAULT = Duration.ofMillis(5);

  /**
   * An estimate without new measurements is forgotten. Otherwise one slow statement could have all
   * later ones refused as too late, and none would run to correct the estimate.
   */
  static final Duration MAXIMUM_AGE = Duration.ofSeconds(10);

  /** Weight of a new measurement in the running mean. */
  private static final double GAIN = 0.05;

  /** The minimum is taken over one to two of these periods, so that it follows a changed server. */
  private static final Duration MINIMUM_PERIOD = Duration.ofSeconds(30);

  /** Least recently used estimates beyond this number are dropped. */
  private static final int MAXIMUM_ESTIMATES = 4096;

  private final Map<StatementClass, Estimate> estimates =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<StatementClass, Estimate> eldest) {
          return size() > MAXIMUM_ESTIMATES;
        }
      };

  private ServiceTimes() {}

  /** Returns an estimator without measurements. */
  public static ServiceTimes create() {
    return new ServiceTimes();
  }

  /** Takes note of how long a statement took at the backend server. */
  public void record(QueuedRequest<?> request, Duration duration, MonotonicTime now) {
    Estimate estimate = estimates.computeIfAbsent(classOf(request), key -> new Estimate());
    estimate.record(Math.max(1, duration.toNanos()), now);
  }

  /** Returns how long a statement like this one takes on average. */
  public Duration expected(QueuedRequest<?> request, MonotonicTime now) {
    Estimate estimate = estimates.get(classOf(request));
    return estimate == null || now.since(estimate.updatedAt).compareTo(MAXIMUM_AGE) > 0
        ? DEFAULT
        : Duration.ofNanos((long) estimate.mean);
  }

  /** Returns the shortest time that a statement like this one took recently, or zero. */
  public Duration minimum(QueuedRequest<?> request) {
    Estimate estimate = estimates.get(classOf(request));
    return estimate == null
        ? Duration.ZERO
        : Duration.ofNanos(Math.min(estimate.minimum, estimate.previousMinimum));
  }

  private static StatementClass classOf(QueuedRequest<?> request) {
    return new StatementClass(request.workspace(), request.kind(), request.urgency());
  }

  private record StatementClass(WorkspaceId workspace, StatementKind kind, Urgency urgency) {}

  private static final class Estimate {
    private double mean;
    private long minimum = Long.MAX_VALUE;
    private long previousMinimum = Long.MAX_VALUE;
    private MonotonicTime periodStart;
    private MonotonicTime updatedAt;

    private void record(long nanoseconds, MonotonicTime now) {
      boolean first = updatedAt == null || now.since(updatedAt).compareTo(MAXIMUM_AGE) > 0;
      mean = first ? nanoseconds : mean + GAIN * (nanoseconds - mean);
      updatedAt = now;
      if (periodStart == null) {
        periodStart = now;
      }
      if (now.since(periodStart).compareTo(MINIMUM_PERIOD) > 0) {
        previousMinimum = minimum;
        minimum = Long.MAX_VALUE;
        periodStart = now;
      }
      minimum = Math.min(minimum, nanoseconds);
    }
  }
}
