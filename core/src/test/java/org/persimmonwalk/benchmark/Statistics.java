package org.persimmonwalk.benchmark;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.persimmonwalk.benchmark.FleetModel.Statement;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Counts the statements that arrive in one interval, their answers within the deadline, and the
 * attempts that start in the interval.
 */
final class Statistics {
  private final Duration interval;
  private final MonotonicTime from;
  private final MonotonicTime until;
  private final int[] arrived = new int[FleetModel.WORKSPACES];
  private final int[] answered = new int[FleetModel.WORKSPACES];
  private final List<List<Long>> latencies = new ArrayList<>();
  private long usefulNanoseconds;
  private int firstAttempts;
  private int retries;

  private Statistics(Duration from, Duration until) {
    this.interval = until.minus(from);
    this.from = MonotonicTime.of(from.toNanos());
    this.until = MonotonicTime.of(until.toNanos());
    for (int workspace = 0; workspace < FleetModel.WORKSPACES; workspace++) {
      latencies.add(new ArrayList<>());
    }
  }

  static Statistics between(Duration from, Duration until) {
    return new Statistics(from, until);
  }

  void arrived(Statement statement, MonotonicTime now) {
    if (isInInterval(now)) {
      arrived[statement.workspace]++;
    }
  }

  void started(Statement statement, MonotonicTime now) {
    if (isInInterval(now) && statement.attempts == 1) {
      firstAttempts++;
    } else if (isInInterval(now)) {
      retries++;
    }
  }

  void answered(Statement statement, Duration latency, boolean withinDeadline) {
    if (isInInterval(statement.arrivedAt) && withinDeadline) {
      answered[statement.workspace]++;
      usefulNanoseconds += statement.serviceNanoseconds;
      latencies.get(statement.workspace).add(latency.toNanos());
    }
  }

  double successShare(int workspace) {
    return (double) answered[workspace] / arrived[workspace];
  }

  /**
   * Returns the 99th percentile of the latency of statements answered within the deadline, in ms.
   */
  double percentile99(int workspace) {
    List<Long> sorted = new ArrayList<>(latencies.get(workspace));
    Collections.sort(sorted);
    return sorted.isEmpty() ? Double.NaN : sorted.get((int) (sorted.size() * 0.99)) / 1e6;
  }

  double goodput() {
    return Arrays.stream(answered).sum() / (interval.toNanos() / 1e9);
  }

  /** Returns the share of the server's capacity that was spent on answers within the deadline. */
  double usefulShare(int slots) {
    return usefulNanoseconds / ((double) interval.toNanos() * slots);
  }

  int firstAttempts() {
    return firstAttempts;
  }

  int retries() {
    return retries;
  }

  private boolean isInInterval(MonotonicTime time) {
    return !time.isBefore(from) && time.isBefore(until);
  }
}
