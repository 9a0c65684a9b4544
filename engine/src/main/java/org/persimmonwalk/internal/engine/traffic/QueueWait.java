package org.persimmonwalk.internal.engine.traffic;

import org.persimmonwalk.engine.control.ServerLoad;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Estimates how long statements wait in the queue of a server: their latency less the time that
 * they take at an idle server. The own answers of a host are few, so those of its zone count too.
 */
final class QueueWait {
  /** The weight of a new sample in the moving averages. */
  private static final double NEW_SAMPLE_WEIGHT = 0.3;

  /** A queue of 32 statements that four slots work off at 20 ms each. */
  private static final double FULL_QUEUE_MILLIS = 160;

  /** Half-life of the estimate without samples, so that a host that sends nothing sends again. */
  private static final double HALF_LIFE_SECONDS = 0.5;

  private static final double NANOS_PER_SECOND = 1e9;

  private double waitMillis;
  private double workMillis;
  private double openingMillis;
  private double newOpeningMillis;
  private MonotonicTime sampledAt;

  /** Records an answer of a statement whose route takes the given time at an idle server. */
  void recordAnswer(double latencyMillis, double routeWorkMillis, MonotonicTime now) {
    workMillis =
        workMillis == 0
            ? routeWorkMillis
            : workMillis + NEW_SAMPLE_WEIGHT * (routeWorkMillis - workMillis);
    openingMillis += NEW_SAMPLE_WEIGHT * (newOpeningMillis - openingMillis);
    newOpeningMillis = 0;
    record(Math.max(0, latencyMillis - routeWorkMillis), now);
  }

  /** Records that the server accepted a connection, which takes the given time if it is idle. */
  void recordOpening(double latencyMillis, double idleMillis, MonotonicTime now) {
    newOpeningMillis += idleMillis;
    record(Math.max(0, latencyMillis - idleMillis), now);
  }

  /** Records that the server refused a statement as its queue was full. */
  void recordFullQueue(MonotonicTime now) {
    record(FULL_QUEUE_MILLIS, now);
  }

  private void record(double sample, MonotonicTime now) {
    double current = own(now);
    waitMillis = current + NEW_SAMPLE_WEIGHT * (sample - current);
    sampledAt = now;
  }

  /**
   * Returns the mean time that a statement of this host takes at the idle server, with the opening
   * of its connection if it needs one.
   */
  double occupiedMillis() {
    return workMillis + openingMillis;
  }

  /**
   * Returns the estimated wait.
   *
   * @param zone what the hosts of the zone have seen lately; without answers if nothing is known
   */
  double millis(ServerLoad zone, MonotonicTime now) {
    double zoneWait = Math.max(0, zone.meanLatencyMillis() - workMillis);
    return ZoneLatency.blend(own(now), zoneWait, workMillis == 0 ? 0 : zone.answers());
  }

  private double own(MonotonicTime now) {
    if (sampledAt == null) {
      return 0;
    }
    double seconds = now.since(sampledAt).toNanos() / NANOS_PER_SECOND;
    return waitMillis * Math.pow(0.5, seconds / HALF_LIFE_SECONDS);
  }
}
