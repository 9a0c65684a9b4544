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

/** Measures isolation, goodput under overload and retries against the baselines. */
public final class OverloadBenchmark {
  private static final double NORMAL_LOAD = 0.6;
  private static final int CAPACITY = 256;
  private static final Duration WARM_UP = Duration.ofSeconds(30);
  private static final Duration END = Duration.ofSeconds(330);

  /** Each workspace is configured with the rate that it normally sends. */
  private static final WorkspaceWeights WEIGHTS =
      workspace ->
          FleetModel.WORKSPACES
              * FleetModel.PARTS[Integer.parseInt(workspace.value().replace("workspace-", ""))];

  private static final PrintStream OUT = System.out;

  private final long seed;
  private final int slots;

  private OverloadBenchmark(long seed, int slots) {
    this.seed = seed;
    this.slots = slots;
  }

  /** Prints all figures; the seeds may be given as arguments. */
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
          benchmark.isolation(variant, 0);
          benchmark.isolation(variant, 7);
          benchmark.overload(variant);
          benchmark.retryStorm(variant);
        }
      }
    }
  }

  private void isolation(Variant variant, int aggressor) {
    double[] factors = factors(1);
    factors[aggressor] = 8;
    Statistics together = run(variant, NORMAL_LOAD, factors);
    double worstShare = Double.MAX_VALUE;
    double worstLatency = 0;
    double latency = 0;
    double alone = 0;
    for (int workspace = 0; workspace < FleetModel.WORKSPACES; workspace++) {
      if (workspace != aggressor) {
        double[] only = factors(0);
        only[workspace] = 1;
        Statistics single = run(variant, NORMAL_LOAD, only);
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
        "  (a) %-8s workspace %d at 8 times: worst success share %.2f %%, worst p99 %.2f times"
            + " (%.0f ms, alone %.0f ms), server used %.0f %%%n",
        variant,
        aggressor,
        100 * worstShare,
        worstLatency,
        latency,
        alone,
        100 * together.usefulShare(slots));
  }

  private void overload(Variant variant) {
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
        "  (b) %-8s goodput at 3 times %.1f %% of peak; load: goodput, useful work%s%n",
        variant, 100 * last.goodput() / peak, line);
  }

  private void retryStorm(Variant variant) {
    Duration from = Duration.ofSeconds(60);
    Duration until = Duration.ofSeconds(70);
    Statistics statistics = Statistics.between(from, until);
    IntFunction<RetryPolicy> policies =
        host -> variant == Variant.BASELINE ? new AlwaysRetry() : BudgetedRetryPolicy.create();
    FleetModel model = new FleetModel(slots, variant::scheduler, policies, seed, statistics);
    model.load(NORMAL_LOAD, factors(1), seed);
    model.outage(from, until);
    model.run(until);
    OUT.printf(
        "  (c) %-8s server down 10 s: %d first attempts, %d extra (%.1f %%)%n",
        variant,
        statistics.firstAttempts(),
        statistics.extraAttempts(),
        100.0 * statistics.extraAttempts() / statistics.firstAttempts());
  }

  private Statistics run(Variant variant, double load, double[] factors) {
    Statistics statistics = Statistics.between(WARM_UP, END);
    FleetModel model =
        new FleetModel(slots, variant::scheduler, host -> NeverRetry.create(), seed, statistics);
    model.load(load, factors, seed);
    model.run(END.plusSeconds(2));
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
          ? ServerScheduler.of(FirstInFirstOutQueue.of(CAPACITY), FixedLimit.of(2), serviceTimes)
          : ServerScheduler.of(
              FairQueue.of(CAPACITY, WEIGHTS, serviceTimes), AdaptiveLimit.of(50), serviceTimes);
    }
  }

  /** Retries every failure; the baseline. */
  private static final class AlwaysRetry implements RetryPolicy {
    @Override
    public void recordFirstAttempt(MonotonicTime now) {
      // No budget is kept.
    }

    @Override
    public boolean mayRetry(FailedAttempt attempt, MonotonicTime now) {
      return true;
    }
  }
}
