package org.persimmonwalk.benchmark;

import java.io.PrintStream;
import java.time.Duration;
import java.util.Arrays;
import java.util.function.IntFunction;
import org.persimmonwalk.admission.AdaptiveLimit;
import org.persimmonwalk.admission.FairQueue;
import org.persimmonwalk.admission.FirstInFirstOutQueue;
import org.persimmonwalk.admission.FixedLimit;
import org.persimmonwalk.admission.ServerScheduler;
import org.persimmonwalk.admission.ServiceTimes;
import org.persimmonwalk.admission.WorkspaceWeights;
import org.persimmonwalk.benchmark.FleetModel.Statement;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.retry.BudgetedRetryPolicy;
import org.persimmonwalk.retry.FailedAttempt;
import org.persimmonwalk.retry.NeverRetry;
import org.persimmonwalk.retry.RetryPolicy;

/**
 * Compares the adaptive admission policies with simple baselines: how well a workspace is isolated
 * from another one's overload, the goodput under overload, and the extra load from retries during
 * an outage.
 */
public final class OverloadBenchmark {
  private static final double NORMAL_LOAD = 0.6;
  private static final int QUEUE_CAPACITY = 256;
  private static final Duration WARM_UP = Duration.ofSeconds(30);
  private static final Duration MEASUREMENT_END = Duration.ofSeconds(330);

  /** The weights are proportional to the normal load of the workspaces. */
  private static final WorkspaceWeights WEIGHTS =
      workspace ->
          FleetModel.WORKSPACES
              * FleetModel.LOAD_SHARES[
                  Integer.parseInt(workspace.value().replace("workspace-", ""))];

  private static final PrintStream OUT = System.out;

  private final long seed;
  private final int slots;

  private OverloadBenchmark(long seed, int slots) {
    this.seed = seed;
    this.slots = slots;
  }

  /** Runs and prints all measurements. The arguments are the seeds, 1 if absent. */
  public static void main(String[] arguments) {
    long[] seeds =
        arguments.length == 0
            ? new long[] {1}
            : Arrays.stream(arguments).mapToLong(Long::parseLong).toArray();
    for (long seed : seeds) {
      for (int slots : new int[] {3, 2}) {
        OUT.printf("seed %d, %d slots, %d hosts%n", seed, slots, FleetModel.HOSTS);
        OverloadBenchmark benchmark = new OverloadBenchmark(seed, slots);
        for (Variant variant : Variant.values()) {
          benchmark.measureIsolation(variant, 0);
          benchmark.measureIsolation(variant, 7);
          benchmark.measureOverload(variant);
          benchmark.measureRetryStorm(variant);
        }
      }
    }
  }

  private void measureIsolation(Variant variant, int aggressor) {
    double[] factors = factors(1);
    factors[aggressor] = 8;
    Statistics together = run(variant, NORMAL_LOAD, factors);
    double worstShare = Double.MAX_VALUE;
    double worstLatency = 0;
    double latency = 0;
    double alone = 0;
    for (int workspace = 0; workspace < FleetModel.WORKSPACES; workspace++) {
      if (workspace != aggressor) {
        double[] loadOfOne = factors(0);
        loadOfOne[workspace] = 1;
        Statistics single = run(variant, NORMAL_LOAD, loadOfOne);
        worstShare =
            Math.min(worstShare, together.successShare(workspace) / single.successShare(workspace));
        double ratio = together.percentile99(workspace) / single.percentile99(workspace);
        if (ratio > worstLatency) {
          worstLatency = ratio;
          latency = together.percentile99(workspace);
          alone = single.percentile99(workspace);
        }
      }
    }
    OUT.printf(
        "  (a) %-8s workspace %d at 8 times its load; worst of the others, relative to running"
            + " alone: success share %.2f %%, p99 %.2f times (%.0f ms, alone %.0f ms); server"
            + " capacity spent on answers in time %.0f %%%n",
        variant,
        aggressor,
        100 * worstShare,
        worstLatency,
        latency,
        alone,
        100 * together.usefulShare(slots));
  }

  private void measureOverload(Variant variant) {
    double peak = 0;
    StringBuilder line = new StringBuilder();
    Statistics last = null;
    for (double load : new double[] {0.6, 0.8, 0.9, 1.0, 1.2, 1.5, 2, 3}) {
      last = run(variant, load, factors(1));
      peak = Math.max(peak, last.goodput());
      line.append(
          String.format(
              " %.1f: %.0f/s %.0f %%,", load, last.goodput(), 100 * last.usefulShare(slots)));
    }
    OUT.printf(
        "  (b) %-8s goodput at load 3: %.1f %% of peak; by load, goodput and capacity spent on"
            + " answers in time:%s%n",
        variant, 100 * last.goodput() / peak, line);
  }

  private void measureRetryStorm(Variant variant) {
    Duration from = Duration.ofSeconds(60);
    Duration until = Duration.ofSeconds(70);
    Statistics statistics = Statistics.between(from, until);
    IntFunction<RetryPolicy> policies =
        host -> variant == Variant.BASELINE ? new AlwaysRetry() : BudgetedRetryPolicy.create();
    FleetModel model = new FleetModel(slots, variant::scheduler, policies, seed, statistics);
    model.load(NORMAL_LOAD, factors(1), seed);
    model.scheduleOutage(from, until);
    model.run(until);
    OUT.printf(
        "  (c) %-8s server down for 10 s: %d first attempts, %d retries (%.1f %%)%n",
        variant,
        statistics.firstAttempts(),
        statistics.retries(),
        100.0 * statistics.retries() / statistics.firstAttempts());
  }

  private Statistics run(Variant variant, double load, double[] factors) {
    Statistics statistics = Statistics.between(WARM_UP, MEASUREMENT_END);
    FleetModel model =
        new FleetModel(slots, variant::scheduler, host -> NeverRetry.create(), seed, statistics);
    model.load(load, factors, seed);
    model.run(MEASUREMENT_END.plusSeconds(2));
    return statistics;
  }

  private static double[] factors(double factor) {
    double[] factors = new double[FleetModel.WORKSPACES];
    Arrays.fill(factors, factor);
    return factors;
  }

  private enum Variant {
    BASELINE,
    ADAPTIVE;

    private ServerScheduler<Statement> scheduler(int host) {
      ServiceTimes serviceTimes = ServiceTimes.create();
      return this == BASELINE
          ? ServerScheduler.of(
              FirstInFirstOutQueue.of(QUEUE_CAPACITY), FixedLimit.of(2), serviceTimes)
          : ServerScheduler.of(
              FairQueue.of(QUEUE_CAPACITY, WEIGHTS, serviceTimes),
              AdaptiveLimit.of(50),
              serviceTimes);
    }
  }

  /** Baseline that retries every failure. */
  private static final class AlwaysRetry implements RetryPolicy {
    @Override
    public void recordFirstAttempt(MonotonicTime now) {
      // Retries are not limited by a budget.
    }

    @Override
    public boolean mayRetry(FailedAttempt attempt, MonotonicTime now) {
      return true;
    }
  }
}
