package org.persimmonwalk.benchmark;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.Heartbeat;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.testing.ConfigurationFleet;
import org.persimmonwalk.testing.ConfigurationHost;
import org.persimmonwalk.testing.Configurations;
import org.persimmonwalk.testing.EncodedSize;

/**
 * Measures how long a new revision of the configuration takes to reach all hosts, also when half of
 * them cannot reach the store, and the messages, bytes, store reads and processor time that this
 * costs. Apart from the processor time, the results depend only on the seeds, because the benchmark
 * runs in simulated time.
 *
 * <p>Run it with {@code mvn -q -B -ntp -pl core test-compile} and {@code java -cp
 * core/target/classes:core/target/test-classes org.persimmonwalk.benchmark.SpreadBenchmark}.
 */
public final class SpreadBenchmark {
  /**
   * The time between two rounds, which is also the latency of a message or an answer; well above
   * the 1.5 ms between zones.
   */
  private static final Duration STEP = Duration.ofMillis(50);

  private static final Duration WARM_UP = Duration.ofSeconds(15);
  private static final Duration STEADY_STATE = Duration.ofSeconds(10);
  private static final Duration MAX_PROPAGATION_TIME = Duration.ofSeconds(30);

  /** Which hosts cannot reach the platform; the name is a command-line argument. */
  private enum Cut {
    NONE,
    EVERY_SECOND_HOST,
    WHOLE_ZONES
  }

  /**
   * A deployment to measure.
   *
   * @param name the description in the printed table
   * @param hosts the number of hosts
   * @param zones the number of zones
   * @param first the configuration before the change
   * @param cut which hosts cannot reach the platform
   * @param peers whether hosts exchange messages; if not, each host only polls the store
   */
  private record Scenario(
      String name, int hosts, int zones, Configuration first, Cut cut, boolean peers) {}

  /**
   * The results of one run, which installs one new revision. Rates are those of the steady state
   * before the change.
   *
   * @param timeToAll the time in milliseconds until the last host had the revision, or until the
   *     measurement was given up
   * @param missing the number of hosts without the revision at the end
   * @param messages messages per host and second
   * @param bytes bytes per host and second
   * @param changeBytes bytes per host during the change, beyond those of the steady state
   * @param reads store reads per second
   * @param peakReads the most store reads within one second of the change
   * @param processorMicros processor time in microseconds per host and second
   */
  private record Result(
      double timeToAll,
      long missing,
      double messages,
      double bytes,
      double changeBytes,
      double reads,
      double peakReads,
      double processorMicros) {}

  private SpreadBenchmark() {}

  /**
   * Runs all scenarios. The first argument is the number of changes measured in each, 10 if absent;
   * the second limits the scenarios to one kind of {@link Cut}.
   */
  public static void main(String[] arguments) {
    int changes = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 10;
    List<Cut> cuts =
        arguments.length > 1 ? List.of(Cut.valueOf(arguments[1])) : List.of(Cut.values());
    Configuration small = Configurations.of(1, 3, 8);
    Configuration large = Configurations.of(1, 570, 2000);
    System.out.println(
        "| scenario | hosts | time to reach all, median (ms) | time to reach all, worst (ms)"
            + " | hosts without it after 30 s | messages/host/s | bytes/host/s"
            + " | extra bytes/host for the change | store reads/s | store reads/s, peak"
            + " | processor us/host/s |");
    System.out.println("|---|---|---|---|---|---|---|---|---|---|---|");
    for (boolean peers : new boolean[] {false, true}) {
      String prefix = peers ? "store and peers" : "store every 5 s";
      for (Cut cut : cuts) {
        String name = prefix + ", cut off: " + cut.name().toLowerCase(Locale.ROOT);
        report(new Scenario(name, 20, 3, small, cut, peers), changes);
        report(new Scenario(name, 430, 7, large, cut, peers), changes);
      }
    }
  }

  private static void report(Scenario scenario, int changes) {
    List<Result> all = new ArrayList<>();
    for (int seed = 1; seed <= changes; seed++) {
      all.add(measure(scenario, seed));
    }
    List<Double> times = new ArrayList<>(all.stream().map(Result::timeToAll).toList());
    Collections.sort(times);
    boolean complete = all.stream().allMatch(figures -> figures.missing() == 0);
    System.out.printf(
        Locale.ROOT,
        "| %s | %d | %s | %s | %d | %.1f | %.0f | %.0f | %.0f | %.0f | %.0f |%n",
        scenario.name(),
        scenario.hosts(),
        complete ? Math.round(times.get(times.size() / 2)) : "never",
        complete ? Math.round(times.get(times.size() - 1)) : "never",
        all.stream().mapToLong(Result::missing).max().orElse(0),
        all.stream().mapToDouble(Result::messages).average().orElse(0),
        all.stream().mapToDouble(Result::bytes).average().orElse(0),
        all.stream().mapToDouble(Result::changeBytes).average().orElse(0),
        all.stream().mapToDouble(Result::reads).average().orElse(0),
        all.stream().mapToDouble(Result::peakReads).max().orElse(0),
        all.stream().mapToDouble(Result::processorMicros).average().orElse(0));
  }

  private static Result measure(Scenario scenario, int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    ConfigurationFleet fleet = ConfigurationFleet.of(STEP, EncodedSize.create());
    fleet.store().install(scenario.first());
    for (int index = 0; index < scenario.hosts(); index++) {
      HostEntry entry = entry(index, scenario.zones());
      List<Controller> controllers =
          scenario.peers() ? controllersWithDemand(entry) : List.of(new StorePollingController());
      fleet.add(entry, controllers, random.nextLong());
    }
    fleet.run(WARM_UP);
    cutOff(fleet, scenario);
    fleet.run(Duration.ofMillis(2000 + 50 * random.nextInt(20)));

    long messages = fleet.messages();
    long bytes = fleet.bytes();
    long reads = fleet.store().reads();
    long processorBefore = processorNanos();
    fleet.run(STEADY_STATE);
    double hostSeconds = scenario.hosts() * (double) STEADY_STATE.toSeconds();
    double processorMicros = (processorNanos() - processorBefore) / 1000.0 / hostSeconds;
    double bytesPerSecond = (fleet.bytes() - bytes) / hostSeconds;
    double messagesPerSecond = (fleet.messages() - messages) / hostSeconds;
    double readsPerSecond = (fleet.store().reads() - reads) / (double) STEADY_STATE.toSeconds();

    Propagation propagation = Propagation.run(fleet, scenario);
    return new Result(
        propagation.time,
        propagation.missing,
        messagesPerSecond,
        bytesPerSecond,
        propagation.bytes / (double) scenario.hosts() - bytesPerSecond * propagation.time / 1000,
        readsPerSecond,
        propagation.peakReads,
        processorMicros);
  }

  /**
   * Returns the production controllers, with demand for as many workspaces as a heartbeat may list,
   * so that heartbeats have their largest size.
   */
  private static List<Controller> controllersWithDemand(HostEntry entry) {
    Map<WorkspaceId, Double> demand = new HashMap<>();
    for (int index = 0; index < Heartbeat.DEMAND_LIMIT; index++) {
      demand.put(WorkspaceId.of("workspace-" + index), 12.5 + index);
    }
    List<Controller> controllers = new ArrayList<>(ConfigurationHost.controllers(entry));
    controllers.add((blackboard, context) -> blackboard.put(Entries.DEMAND, demand));
    return controllers;
  }

  private static long processorNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private static void cutOff(ConfigurationFleet fleet, Scenario scenario) {
    List<ConfigurationHost> hosts = new ArrayList<>(fleet.hosts());
    if (scenario.cut() == Cut.WHOLE_ZONES) {
      hosts.sort((first, second) -> first.entry().zone().compareTo(second.entry().zone()));
    }
    for (int index = 0; index < hosts.size(); index++) {
      boolean cut =
          switch (scenario.cut()) {
            case NONE -> false;
            case EVERY_SECOND_HOST -> index % 2 == 0;
            case WHOLE_ZONES -> index < hosts.size() / 2;
          };
      hosts.get(index).setStoreReachable(!cut);
      hosts.get(index).setHostListReachable(!cut);
    }
  }

  private static HostEntry entry(int index, int zones) {
    return HostEntry.of(
        EntryHostId.of(String.format("entry-%04d-5f3a9c21", index)),
        AvailabilityZone.of("region-1-zone-" + index % zones),
        SocketEndpoint.of("10.20." + index / 200 + "." + (100 + index % 100), 7432));
  }

  /** Installs a new revision and measures its propagation to all hosts. */
  private static final class Propagation {
    private double time;
    private long missing;
    private long bytes;
    private long peakReads;

    static Propagation run(ConfigurationFleet fleet, Scenario scenario) {
      Propagation propagation = new Propagation();
      Revision revision = Revision.of(2);
      fleet.store().install(Configurations.withRevision(scenario.first(), revision.number()));
      long bytesBefore = fleet.bytes();
      List<Long> reads = new ArrayList<>(List.of(fleet.store().reads()));
      int stepsPerSecond = (int) (1000 / STEP.toMillis());
      do {
        fleet.step();
        propagation.time += STEP.toMillis();
        reads.add(fleet.store().reads());
        long readsOneSecondAgo = reads.get(Math.max(0, reads.size() - 1 - stepsPerSecond));
        propagation.peakReads =
            Math.max(propagation.peakReads, fleet.store().reads() - readsOneSecondAgo);
        propagation.missing =
            fleet.hosts().stream().filter(host -> !host.revision().equals(revision)).count();
      } while (propagation.missing > 0 && propagation.time < MAX_PROPAGATION_TIME.toMillis());
      propagation.bytes = fleet.bytes() - bytesBefore;
      return propagation;
    }
  }
}
