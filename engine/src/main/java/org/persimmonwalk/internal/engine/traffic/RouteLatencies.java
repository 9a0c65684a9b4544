package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.persimmonwalk.engine.DatabaseName;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.model.MonotonicTime;

/** How long servers have lately taken to answer the statements of each route. */
final class RouteLatencies {
  private static final double NANOS_PER_MILLI = 1e6;

  private final Map<DatabaseName, LatencyAverage> averages = new HashMap<>();

  void record(Route route, Duration latency, MonotonicTime now) {
    averages
        .computeIfAbsent(route.database(), unused -> new LatencyAverage(0, now))
        .add(latency, now);
  }

  /** Returns how long a statement of the route usually takes; zero if none was measured lately. */
  Duration usual(Route route, MonotonicTime now) {
    LatencyAverage average = averages.get(route.database());
    return average == null
        ? Duration.ZERO
        : Duration.ofNanos((long) (average.millis(now) * NANOS_PER_MILLI));
  }

  void retain(Set<DatabaseName> routes) {
    averages.keySet().retainAll(routes);
  }
}
