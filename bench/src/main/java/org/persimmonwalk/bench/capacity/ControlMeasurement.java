package org.persimmonwalk.bench.capacity;

import java.time.Duration;
import java.util.List;

/** Measures the control loop of one entry host by hosts, groups and workspaces. */
final class ControlMeasurement {
  /** Answers that arrive within this time share a round. */
  private static final Duration TICK = Duration.ofMillis(1);

  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final int BASE_HOSTS = 5;

  /** Few, since the time that the measurement takes grows with hosts times groups. */
  private static final int HOSTS_FOR_GROUPS = 3;

  private static final int BASE_GROUPS = 10;
  private static final int BASE_WORKSPACES = 8;
  private static final List<Integer> HOSTS = List.of(5, 10, 20, 40);
  private static final List<Integer> GROUPS = List.of(10, 100, 300, 570);
  private static final List<Integer> WORKSPACES = List.of(8, 50, 100, 200);
  private static final int TARGET_HOSTS = 430;

  private final CapacityReport report;
  private final Duration warmUp;
  private final Duration length;

  private ControlMeasurement(CapacityReport report, Duration warmUp, Duration length) {
    this.report = report;
    this.warmUp = warmUp;
    this.length = length;
  }

  /** Returns a measurement of the given simulated time after the given warm-up. */
  static ControlMeasurement of(CapacityReport report, Duration warmUp, Duration length) {
    return new ControlMeasurement(report, warmUp, length);
  }

  void run() {
    measure(Sizes.of(BASE_HOSTS, BASE_GROUPS, BASE_WORKSPACES));
    for (int hosts : HOSTS) {
      Sizes sizes = Sizes.of(hosts, BASE_GROUPS, BASE_WORKSPACES);
      add("hosts", "10 groups, 8 workspaces", hosts, measure(sizes));
    }
    for (int workspaces : WORKSPACES) {
      Sizes sizes = Sizes.of(BASE_HOSTS, BASE_GROUPS, workspaces);
      add("workspaces", "5 hosts, 10 groups", workspaces, measure(sizes));
    }
    for (int groups : GROUPS) {
      Sizes sizes = Sizes.of(HOSTS_FOR_GROUPS, groups, BASE_WORKSPACES);
      add("groups", "3 hosts, 8 workspaces", groups, measure(sizes));
    }
  }

  /** Measures one size, without a line. */
  void run(Sizes sizes) {
    add("hosts", sizes.toString(), sizes.hosts(), measure(sizes));
  }

  /** Measures the target's number of hosts as a check of the line. */
  void runCheck() {
    Sizes sizes = Sizes.of(TARGET_HOSTS, BASE_GROUPS, BASE_WORKSPACES);
    add("hosts (check)", "10 groups, 8 workspaces", TARGET_HOSTS, measure(sizes));
  }

  private record Result(HostCounts counts, double seconds, double heapBytes) {}

  private Result measure(Sizes sizes) {
    long before = Heap.usedBytes();
    try (SimulatedFleet fleet = SimulatedFleet.of(sizes, TICK)) {
      fleet.run(warmUp);
      HostCounts start = fleet.host(0).counts();
      fleet.run(length);
      HostCounts counts = fleet.host(0).counts().minus(start);
      long kept = Heap.usedBytes() - before - fleet.store().bytes();
      double seconds = length.toNanos() / NANOSECONDS_PER_SECOND;
      return new Result(counts, seconds, (double) kept / sizes.hosts());
    }
  }

  private void add(String variable, String setting, int at, Result result) {
    HostCounts counts = result.counts();
    double seconds = result.seconds();
    add(
        "control processor time, ms/s",
        variable,
        setting,
        at,
        counts.processorNanoseconds() / 1e6 / seconds);
    add("control heap, KB", variable, setting, at, result.heapBytes() / 1e3);
    add("control rounds/s", variable, setting, at, counts.rounds() / seconds);
    add("peer messages/s", variable, setting, at, counts.messages() / seconds);
    add("peer bytes/s", variable, setting, at, counts.messageBytes() / seconds);
    add("store row bytes/s", variable, setting, at, counts.storeBytes() / seconds);
    add("probes/s", variable, setting, at, counts.probes() / seconds);
    add("probes without a connection/s", variable, setting, at, counts.refusedProbes() / seconds);
    System.err.printf("measured: %s %d%n", variable, at);
  }

  private void add(String quantity, String variable, String setting, double at, double value) {
    report.add(quantity, variable, setting, at, value);
  }
}
