package org.persimmonwalk.admission;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.routing.StatementKind;

/**
 * Measured service times per workspace, kind and urgency. {@link FairQueue} uses the moving average
 * as the cost of a statement, so that a heavy statement counts for more than a short one. Not
 * thread-safe; {@link ServerScheduler} calls it while it holds its lock.
 */
public final class ServiceTimes {
  /** Assumed for statements without a measurement; the duration of a short statement. */
  static final Duration DEFAULT = Duration.ofMillis(5);

  /**
   * Estimates without a measurement for this long are ignored. Otherwise one slow statement could
   * cause all later ones to be refused for their deadline, and none would run to correct the
   * estimate.
   */
  static final Duration MAXIMUM_AGE = Duration.ofSeconds(10);

  /** Weight of a new measurement in the exponential moving average. */
  private static final double SMOOTHING_FACTOR = 0.05;

  /** The minimum covers one to two of these periods, so that it adapts when the server changes. */
  private static final Duration MINIMUM_PERIOD = Duration.ofSeconds(30);

  /** Beyond this number, the least recently used estimates are evicted. */
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

  /** Records how long a statement took at the backend server. */
  public void record(QueuedRequest<?> request, Duration duration, MonotonicTime now) {
    Estimate estimate = estimates.computeIfAbsent(classOf(request), key -> new Estimate());
    estimate.record(Math.max(1, duration.toNanos()), now);
  }

  /** Returns the average duration of statements of the same class. */
  public Duration expected(QueuedRequest<?> request, MonotonicTime now) {
    Estimate estimate = estimates.get(classOf(request));
    return estimate == null || now.since(estimate.updatedAt).compareTo(MAXIMUM_AGE) > 0
        ? DEFAULT
        : Duration.ofNanos((long) estimate.mean);
  }

  /** Returns the shortest recent duration of statements of the same class, or zero if none ran. */
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
      mean = first ? nanoseconds : mean + SMOOTHING_FACTOR * (nanoseconds - mean);
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
