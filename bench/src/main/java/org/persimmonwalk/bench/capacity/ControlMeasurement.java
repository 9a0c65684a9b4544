package org.persimmonwalk.bench.capacity;

import java.time.Duration;
import java.util.List;

/**
 * Measures the control loop of one simulated entry host at several numbers of hosts, groups and
 * workspaces.
 */
final class ControlMeasurement {
  /** Observations that arrive within this time share a round. */
  private static final Duration TICK = Duration.ofMillis(1);

  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final int BASE_HOSTS = 5;

  /** Few, because the run time of the measurement grows with hosts times groups. */
  private static final int HOSTS_FOR_GROUPS = 3;

  private static final int BASE_GROUPS = 10;
  private static final int BASE_WORKSPACES = 8;
  private static final List<Integer> HOST_COUNTS = List.of(5, 10, 20, 40);
  private static final List<Integer> GROUP_COUNTS = List.of(10, 100, 300, 570);
  private static final List<Integer> WORKSPACE_COUNTS = List.of(8, 50, 100, 200);
  private static final int TARGET_HOSTS = 430;

  private final CapacityReport report;
  private final Duration warmUp;
  private final Duration length;

  private ControlMeasurement(CapacityReport report, Duration warmUp, Duration length) {
    this.report = report;
    this.warmUp = warmUp;
    this.length = length;
  }

  /** Returns a measurement with a warm-up and a length in simulated time. */
  static ControlMeasurement of(CapacityReport report, Duration warmUp, Duration length) {
    return new ControlMeasurement(report, warmUp, length);
  }

  void run() {
    measure(Sizes.of(BASE_HOSTS, BASE_GROUPS, BASE_WORKSPACES));
    for (int hosts : HOST_COUNTS) {
      Sizes sizes = Sizes.of(hosts, BASE_GROUPS, BASE_WORKSPACES);
      add("hosts", "10 groups, 8 workspaces", hosts, measure(sizes));
    }
    for (int workspaces : WORKSPACE_COUNTS) {
      Sizes sizes = Sizes.of(BASE_HOSTS, BASE_GROUPS, workspaces);
      add("workspaces", "5 hosts, 10 groups", workspaces, measure(sizes));
    }
    for (int groups : GROUP_COUNTS) {
      Sizes sizes = Sizes.of(HOSTS_FOR_GROUPS, groups, BASE_WORKSPACES);
      add("groups", "3 hosts, 8 workspaces", groups, measure(sizes));
    }
  }

  /** Measures a single size, which gives one point and no line. */
  void run(Sizes sizes) {
    add("hosts", sizes.toString(), sizes.hosts(), measure(sizes));
  }

  /** Measures the target number of hosts, to check the extrapolated line. */
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
      long retainedBytes = Heap.usedBytes() - before - fleet.store().totalBytes();
      double seconds = length.toNanos() / NANOSECONDS_PER_SECOND;
      return new Result(counts, seconds, (double) retainedBytes / sizes.hosts());
    }
  }

  private void add(String variable, String setting, int x, Result result) {
    HostCounts counts = result.counts();
    double seconds = result.seconds();
    add(
        "control processor time, ms/s",
        variable,
        setting,
        x,
        counts.processorNanoseconds() / 1e6 / seconds);
    add("control heap, KB", variable, setting, x, result.heapBytes() / 1e3);
    add("control rounds/s", variable, setting, x, counts.rounds() / seconds);
    add("peer messages/s", variable, setting, x, counts.messages() / seconds);
    add("peer bytes/s", variable, setting, x, counts.messageBytes() / seconds);
    add("store row bytes/s", variable, setting, x, counts.storeBytes() / seconds);
    add("probes/s", variable, setting, x, counts.probes() / seconds);
    add("probes without a connection/s", variable, setting, x, counts.refusedProbes() / seconds);
    System.err.printf("measured: %s %d%n", variable, x);
  }

  private void add(String quantity, String variable, String setting, double x, double y) {
    report.add(quantity, variable, setting, x, y);
  }
}
