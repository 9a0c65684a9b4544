package org.persimmonwalk.benchmark;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.persimmonwalk.acknowledgement.ImmediateAcknowledgement;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.internal.control.configuration.ConfigurationController;
import org.persimmonwalk.internal.control.position.ReplicaPositionController;
import org.persimmonwalk.internal.control.position.SamplingController;
import org.persimmonwalk.internal.control.position.SamplingSettings;
import org.persimmonwalk.internal.control.primary.FollowController;
import org.persimmonwalk.internal.control.primary.PromotionSettings;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.FailoverFleet;
import org.persimmonwalk.testing.FailoverHost;

/**
 * Prints how long writes are interrupted by a failover, the number of promotions and the
 * acknowledged writes that were lost, in simulated time, for the production controllers and for a
 * naive baseline.
 *
 * <p>The write outage of a run is the time from the fault until every running host that can reach
 * the new primary has acknowledged a write of a new term. The argument is the number of seeds, 200
 * if absent.
 */
public final class FailoverBenchmark {
  private static final int HOSTS = 6;
  private static final int DEFAULT_SEEDS = 200;
  private static final Duration MAX_OUTAGE = Duration.ofSeconds(30);
  private static final Duration STEP = Duration.ofMillis(100);

  /**
   * The result of one run.
   *
   * @param outage the write outage in milliseconds; empty if writes did not resume within 30 s
   * @param promotions the number of promotions
   * @param acknowledged the number of acknowledged writes
   * @param lost how many of them the last primary does not hold; 0 if there is no primary
   * @param byReplacedPrimary how many of them a primary committed after it had been replaced
   */
  private record Result(
      OptionalLong outage, long promotions, long acknowledged, long lost, long byReplacedPrimary) {}

  private FailoverBenchmark() {}

  /** Runs all scenarios with both versions and prints a table. */
  public static void main(String[] arguments) {
    int seeds = arguments.length == 0 ? DEFAULT_SEEDS : Integer.parseInt(arguments[0]);
    System.out.printf(
        "%d hosts, %d seeds, 1.5 ms one-way latency, one write every 20 ms per host%n",
        HOSTS, seeds);
    System.out.println(
        "| scenario | version | outage, median | outage, 99th percentile | outage, worst"
            + " | not resumed | promotions | acknowledged | lost | by replaced primary |");
    System.out.println("| --- | --- | --: | --: | --: | --: | --: | --: | --: | --: |");
    for (FailoverScenario scenario : FailoverScenario.values()) {
      for (boolean naive : new boolean[] {false, true}) {
        List<Result> results =
            LongStream.range(0, seeds).mapToObj(seed -> run(scenario, seed, naive)).toList();
        print(scenario, naive, results);
      }
    }
  }

  private static Result run(FailoverScenario scenario, long seed, boolean naive) {
    FailoverFleet fleet =
        naive
            ? FailoverFleet.of(
                HOSTS,
                seed,
                FailoverBenchmark::naiveControllers,
                host -> ImmediateAcknowledgement.create(),
                Duration.ofMillis(20))
            : FailoverFleet.standard(HOSTS, seed);
    RandomSource random = RandomSource.seeded(seed);
    fleet.time().advance(Duration.ofMillis(1500 + random.nextInt(500)));
    MonotonicTime faultAt = fleet.now();
    scenario.injectFaults(fleet, random);
    OptionalLong outage = OptionalLong.empty();
    while (outage.isEmpty() && fleet.now().since(faultAt).compareTo(MAX_OUTAGE) < 0) {
      fleet.time().advance(STEP);
      outage = scenario.requiresPromotion() ? outage(fleet, faultAt) : OptionalLong.empty();
    }
    return new Result(
        outage,
        fleet.database().promotions(),
        fleet.acknowledged().size(),
        fleet.database().primary().isPresent() ? fleet.lostWrites().size() : 0,
        fleet.acknowledged().stream()
            .filter(FailoverFleet.AcknowledgedWrite::committedByReplacedPrimary)
            .count());
  }

  private static OptionalLong outage(FailoverFleet fleet, MonotonicTime faultAt) {
    long slowest = 0;
    for (FailoverHost host : fleet.hosts()) {
      String primary = fleet.database().primary().orElse("a");
      if (!host.isRunning()
          || !primary.equals("a") && !fleet.database().isReachable(host.id().value(), primary)) {
        continue;
      }
      OptionalLong first =
          fleet.acknowledged().stream()
              .filter(entry -> entry.host().equals(host.id().value()))
              .filter(entry -> entry.term().number() > 1)
              .mapToLong(entry -> entry.at().since(faultAt).toMillis())
              .min();
      if (first.isEmpty()) {
        return first;
      }
      slowest = Math.max(slowest, first.getAsLong());
    }
    return OptionalLong.of(slowest);
  }

  private static List<Controller> naiveControllers(EntryHostId host) {
    List<Controller> controllers = new ArrayList<>();
    controllers.add(ConfigurationController.create());
    controllers.add(SamplingController.of(SamplingSettings.defaults()));
    controllers.add(ReplicaPositionController.create());
    controllers.add(NaiveFailoverController.of(host));
    controllers.add(FollowController.of(host, PromotionSettings.defaults()));
    return controllers;
  }

  private static void print(FailoverScenario scenario, boolean naive, List<Result> results) {
    long[] outages =
        results.stream().flatMapToLong(result -> result.outage().stream()).sorted().toArray();
    boolean requiresPromotion = scenario.requiresPromotion();
    System.out.printf(
        "| %s | %s | %s | %s | %s | %s | %d | %d | %d | %d |%n",
        scenario.description(),
        naive ? "naive" : "persimmonwalk",
        requiresPromotion ? percentile(outages, 50) : "-",
        requiresPromotion ? percentile(outages, 99) : "-",
        requiresPromotion ? percentile(outages, 100) : "-",
        requiresPromotion ? results.size() - outages.length : "-",
        results.stream().mapToLong(Result::promotions).sum(),
        results.stream().mapToLong(Result::acknowledged).sum(),
        results.stream().mapToLong(Result::lost).sum(),
        results.stream().mapToLong(Result::byReplacedPrimary).sum());
  }

  private static String percentile(long[] sorted, int percent) {
    if (sorted.length == 0) {
      return "none";
    }
    int index = (int) Math.ceil(percent / 100.0 * sorted.length) - 1;
    return sorted[Math.max(0, index)] + " ms";
  }
}
