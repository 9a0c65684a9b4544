package org.persimmonwalk.bench.capacity;

import java.time.Duration;
import java.util.List;

/** Counts the requests to the platform store that all hosts together cause. */
final class StoreMeasurement {
  /** Longer than the rounds of a real host, so that hours can be simulated. */
  private static final Duration TICK = Duration.ofMillis(200);

  private static final Duration START = Duration.ofMinutes(1);
  private static final Duration SETTLING = Duration.ofMinutes(9);

  /** Each lease is renewed once in this time. */
  private static final Duration STEADY = Duration.ofMinutes(20);

  private static final int GROUPS = 10;
  private static final int WORKSPACES = 8;
  private static final int BASE_HOSTS = 5;
  private static final List<Integer> HOSTS = List.of(5, 10, 20, 40);
  private static final List<Integer> ROW_GROUPS = List.of(5, 10, 20);

  private final CapacityReport report;

  private StoreMeasurement(CapacityReport report) {
    this.report = report;
  }

  static StoreMeasurement of(CapacityReport report) {
    return new StoreMeasurement(report);
  }

  void run() {
    for (int hosts : HOSTS) {
      measure(Sizes.of(hosts, GROUPS, WORKSPACES), "hosts", "10 groups, 8 workspaces", hosts);
    }
    for (int groups : ROW_GROUPS) {
      measure(Sizes.of(BASE_HOSTS, groups, WORKSPACES), "groups", "5 hosts, 8 workspaces", groups);
    }
  }

  private void measure(Sizes sizes, String variable, String setting, int at) {
    try (SimulatedFleet fleet = SimulatedFleet.withoutProbes(sizes, TICK)) {
      fleet.run(START);
      StoreCounts started = fleet.store().counts();
      add("first minute: store reads", variable, setting, at, started.leaseReads());
      add("first minute: store writes", variable, setting, at, started.writes());
      add("first minute: store conflicts", variable, setting, at, started.conflicts());
      fleet.run(SETTLING);
      StoreCounts before = fleet.store().counts();
      fleet.run(STEADY);
      StoreCounts counts = fleet.store().counts().minus(before);
      double seconds = STEADY.toSeconds();
      add(
          "configuration reads/s of all hosts",
          variable,
          setting,
          at,
          counts.configurationReads() / seconds);
      add("host list reads/s of all hosts", variable, setting, at, counts.hostLists() / seconds);
      add("lease reads/s of all hosts", variable, setting, at, counts.leaseReads() / seconds);
      add("lease writes/s of all hosts", variable, setting, at, counts.writes() / seconds);
      add("lease conflicts/s of all hosts", variable, setting, at, counts.conflicts() / seconds);
    }
    System.err.printf("counted store requests: %s %d%n", variable, at);
  }

  private void add(String quantity, String variable, String setting, double at, double value) {
    report.add(quantity, variable, setting, at, value);
  }
}
