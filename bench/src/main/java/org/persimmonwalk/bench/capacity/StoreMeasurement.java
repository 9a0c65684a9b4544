package org.persimmonwalk.bench.capacity;

import java.time.Duration;
import java.util.List;

/** Counts the requests that all hosts together send to the platform store. */
final class StoreMeasurement {
  /** Longer than the gap between rounds of a real host, so that a run can simulate hours. */
  private static final Duration TICK = Duration.ofMillis(200);

  private static final Duration START_UP = Duration.ofMinutes(1);
  private static final Duration SETTLING = Duration.ofMinutes(9);

  /** Each lease is renewed once in this time. */
  private static final Duration STEADY_STATE = Duration.ofMinutes(20);

  private static final int BASE_GROUPS = 10;
  private static final int BASE_WORKSPACES = 8;
  private static final int BASE_HOSTS = 5;
  private static final List<Integer> HOST_COUNTS = List.of(5, 10, 20, 40);
  private static final List<Integer> GROUP_COUNTS = List.of(5, 10, 20);

  private final CapacityReport report;

  private StoreMeasurement(CapacityReport report) {
    this.report = report;
  }

  static StoreMeasurement of(CapacityReport report) {
    return new StoreMeasurement(report);
  }

  void run() {
    for (int hosts : HOST_COUNTS) {
      measure(
          Sizes.of(hosts, BASE_GROUPS, BASE_WORKSPACES), "hosts", "10 groups, 8 workspaces", hosts);
    }
    for (int groups : GROUP_COUNTS) {
      measure(
          Sizes.of(BASE_HOSTS, groups, BASE_WORKSPACES), "groups", "5 hosts, 8 workspaces", groups);
    }
  }

  private void measure(Sizes sizes, String variable, String setting, int x) {
    try (SimulatedFleet fleet = SimulatedFleet.withoutProbes(sizes, TICK)) {
      fleet.run(START_UP);
      StoreCounts started = fleet.store().counts();
      add("first minute: store reads", variable, setting, x, started.leaseReads());
      add("first minute: store writes", variable, setting, x, started.writes());
      add("first minute: store conflicts", variable, setting, x, started.conflicts());
      fleet.run(SETTLING);
      StoreCounts before = fleet.store().counts();
      fleet.run(STEADY_STATE);
      StoreCounts counts = fleet.store().counts().minus(before);
      double seconds = STEADY_STATE.toSeconds();
      add(
          "configuration reads/s of all hosts",
          variable,
          setting,
          x,
          counts.configurationReads() / seconds);
      add("host list reads/s of all hosts", variable, setting, x, counts.hostLists() / seconds);
      add("lease reads/s of all hosts", variable, setting, x, counts.leaseReads() / seconds);
      add("lease writes/s of all hosts", variable, setting, x, counts.writes() / seconds);
      add("lease conflicts/s of all hosts", variable, setting, x, counts.conflicts() / seconds);
    }
    System.err.printf("counted store requests: %s %d%n", variable, x);
  }

  private void add(String quantity, String variable, String setting, double x, double y) {
    report.add(quantity, variable, setting, x, y);
  }
}
