package org.persimmonwalk.benchmark;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.persimmonwalk.admission.AdmissionPolicy;
import org.persimmonwalk.admission.AdmitAll;
import org.persimmonwalk.admission.EqualSplitAdmission;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.internal.control.lease.LeaseSettings;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.testing.LeaseFleet;
import org.persimmonwalk.testing.LeaseHost;
import org.persimmonwalk.testing.RateExcessMeter;

/**
 * Prints how many statements within a workspace's limit are refused by leased shares and by the
 * baselines, and by how much each policy exceeds the limit, in simulated time.
 *
 * <p>A statement is within the limit if a single token bucket for the whole fleet, with the
 * workspace's rate and burst, would admit it.
 */
public final class ShareBenchmark {
  private static final int HOSTS = 20;
  private static final Duration STEP = Duration.ofMillis(1);
  private static final Duration MEASUREMENT = Duration.ofMinutes(1);
  private static final double STEPS_PER_SECOND = 1000;
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final Scenario scenario;
  private final LeaseFleet fleet;
  private final Map<Workspace, List<Tally>> tallies = new LinkedHashMap<>();
  private final List<AdmissionPolicy> equalSplit = new ArrayList<>();
  private final AdmissionPolicy admitAll = AdmitAll.create();

  private ShareBenchmark(Scenario scenario, long seed) {
    this.scenario = scenario;
    Map<WorkspaceId, Workspace> workspaces = new LinkedHashMap<>();
    for (Workspace workspace : workspaces()) {
      workspaces.put(workspace.id(), workspace);
      tallies.put(workspace, List.of(tally(workspace), tally(workspace), tally(workspace)));
    }
    Configuration configuration =
        new Configuration(
            Revision.of(1), ReleaseNoteId.of("first"), workspaces, Map.of(), Map.of());
    this.fleet = new LeaseFleet(HOSTS, LeaseSettings.SHARES, configuration, seed);
    fleet.hosts().forEach(host -> equalSplit.add(EqualSplitAdmission.of(HOSTS)));
  }

  /**
   * Runs the scenarios. The first argument is the seed, 1 if absent; the second limits the
   * scenarios to those whose name contains it.
   */
  public static void main(String[] arguments) {
    long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : 1;
    String chosen = arguments.length > 1 ? arguments[1] : "";
    System.out.println(
        "scenario; refused within the limit: leased shares (worst workspace), equal split (worst"
            + " workspace); admitted by leased shares, relative to one bucket; largest excess over"
            + " rate and burst: leased shares, admit all;"
            + " peer messages per host and second; store requests in total");
    scenarios().stream()
        .filter(scenario -> scenario.name().contains(chosen))
        .forEach(scenario -> new ShareBenchmark(scenario, seed).measure());
  }

  private static List<Scenario> scenarios() {
    List<Scenario> scenarios = new ArrayList<>();
    for (double load : new double[] {0.8, 0.95, 1.5}) {
      String text = ", demand " + Math.round(load * 100) + " % of the rate";
      scenarios.add(new Scenario("even" + text, load, 0, Duration.ZERO, false));
      scenarios.add(new Scenario("half at one host" + text, load, 0.5, Duration.ZERO, false));
    }
    Duration seconds = Duration.ofSeconds(5);
    Duration minutes = Duration.ofMinutes(5);
    scenarios.add(new Scenario("half moves every 5 s, 80 %", 0.8, 0.5, seconds, false));
    scenarios.add(new Scenario("store down, even, 80 %", 0.8, 0, Duration.ZERO, true));
    scenarios.add(
        new Scenario("store down, half moves every 5 min, 80 %", 0.8, 0.5, minutes, true));
    return scenarios;
  }

  private static List<Workspace> workspaces() {
    List<Workspace> workspaces = new ArrayList<>();
    double[] rates = {600, 600, 150, 150, 40, 40, 40, 40};
    for (double rate : rates) {
      WorkspaceId id = WorkspaceId.of("workspace-" + workspaces.size());
      workspaces.add(Workspace.of(id, rate, rate, Set.of()));
    }
    return workspaces;
  }

  private static Tally tally(Workspace workspace) {
    return new Tally(new RateExcessMeter(workspace.rate()));
  }

  /**
   * Runs the scenario and prints its results. The statements of one minute are counted; in a store
   * outage, which lasts 30 minutes, those of its first and its last minute.
   */
  private void measure() {
    boolean outage = scenario.outage();
    fleet.time().advance(Duration.ofSeconds(10));
    if (outage) {
      run(Duration.ofMinutes(1), false);
      fleet.time().advance(Duration.ofMinutes(18));
    }
    run(Duration.ofSeconds(10), false);
    fleet.store().setDown(outage);
    long messages = fleet.network().messages();
    run(MEASUREMENT, true);
    if (outage) {
      fleet.time().advance(Duration.ofMinutes(28));
      run(Duration.ofSeconds(10), false);
      run(MEASUREMENT, true);
    }
    messages = fleet.network().messages() - messages;
    double seconds = MEASUREMENT.toSeconds() * (outage ? 2.0 : 1.0);
    System.out.printf(
        "%s; %.2f %% (%.2f %%), %.2f %% (%.2f %%); %.1f %%; %.1f, %.0f; %.1f; %d%n",
        scenario.name(),
        refusedPercent(0),
        worstRefusedPercent(0),
        refusedPercent(1),
        worstRefusedPercent(1),
        leasedAdmittedPercent(),
        worstExcess(0),
        worstExcess(2),
        messages / seconds / HOSTS,
        fleet.store().requests());
  }

  private void run(Duration span, boolean counted) {
    Map<Workspace, FleetBucket> fleetBuckets = new LinkedHashMap<>();
    tallies.keySet().forEach(workspace -> fleetBuckets.put(workspace, new FleetBucket(workspace)));
    for (long step = 0; step < span.dividedBy(STEP); step++) {
      fleet.time().advance(STEP);
      fleetBuckets.forEach(
          (workspace, fleetBucket) -> {
            int arrivals = arrivals(scenario.load() * workspace.rate() / STEPS_PER_SECOND);
            for (int i = 0; i < arrivals; i++) {
              arrive(workspace, fleetBucket.admit(fleet.time().now()), counted);
            }
          });
    }
  }

  private void arrive(Workspace workspace, boolean withinLimit, boolean counted) {
    int index = scenario.host(fleet);
    LeaseHost host = fleet.hosts().get(index);
    boolean[] admitted = {
      host.admit(workspace.id()),
      equalSplit.get(index).admit(host.snapshot(), workspace.id(), host.now()),
      admitAll.admit(host.snapshot(), workspace.id(), host.now())
    };
    for (int policy = 0; counted && policy < admitted.length; policy++) {
      tallies.get(workspace).get(policy).add(withinLimit, admitted[policy], fleet.time().now());
    }
  }

  /** Draws the number of arrivals of a Poisson process in one step. */
  private int arrivals(double mean) {
    double limit = Math.exp(-mean);
    int arrivals = -1;
    double product = 1;
    while (product > limit) {
      product *= (fleet.random().nextInt(Integer.MAX_VALUE) + 1.0) / Integer.MAX_VALUE;
      arrivals++;
    }
    return arrivals;
  }

  private double refusedPercent(int policy) {
    long refused = tallies.values().stream().mapToLong(all -> all.get(policy).refused).sum();
    long withinLimit =
        tallies.values().stream().mapToLong(all -> all.get(policy).withinLimit).sum();
    return 100.0 * refused / withinLimit;
  }

  /** Returns how many statements leased shares admit, relative to one bucket for the fleet. */
  private double leasedAdmittedPercent() {
    List<Tally> leased = tallies.values().stream().map(all -> all.get(0)).toList();
    long admitted = leased.stream().mapToLong(tally -> tally.meter.admitted()).sum();
    return 100.0 * admitted / leased.stream().mapToLong(tally -> tally.withinLimit).sum();
  }

  private double worstRefusedPercent(int policy) {
    return tallies.values().stream()
        .map(all -> all.get(policy))
        .mapToDouble(tally -> 100.0 * tally.refused / tally.withinLimit)
        .max()
        .orElse(0);
  }

  private double worstExcess(int policy) {
    return tallies.entrySet().stream()
        .mapToDouble(
            entry -> entry.getValue().get(policy).meter.largestExcess() - entry.getKey().burst())
        .map(excess -> Math.max(0, excess))
        .max()
        .orElse(0);
  }

  /**
   * How statements arrive.
   *
   * @param name the name in the output, also matched with the second argument
   * @param load the mean demand of each workspace, as a multiple of its rate
   * @param hotHostShare the share of the statements that go to one hot host; the others go to
   *     random hosts
   * @param hotHostInterval the time after which another host becomes the hot one; zero if never
   * @param outage whether the store is down while statements are counted
   */
  private record Scenario(
      String name, double load, double hotHostShare, Duration hotHostInterval, boolean outage) {
    int host(LeaseFleet fleet) {
      if (fleet.random().nextInt(1_000_000) < hotHostShare * 1_000_000) {
        long span = hotHostInterval.toNanos();
        return span == 0 ? 0 : (int) (fleet.time().now() / span % HOSTS);
      }
      return fleet.random().nextInt(HOSTS);
    }
  }

  /** A token bucket for the whole fleet, which decides whether a statement is within the limit. */
  private static final class FleetBucket {
    private final Workspace workspace;
    private double tokens;
    private long refilledAt;

    private FleetBucket(Workspace workspace) {
      this.workspace = workspace;
      this.tokens = workspace.burst();
    }

    private boolean admit(long now) {
      double gained =
          refilledAt == 0 ? 0 : workspace.rate() * (now - refilledAt) / NANOSECONDS_PER_SECOND;
      tokens = Math.min(workspace.burst(), tokens + gained);
      refilledAt = now;
      boolean admitted = tokens >= 1;
      tokens -= admitted ? 1 : 0;
      return admitted;
    }
  }

  /** Counts the decisions of one policy on the statements of one workspace. */
  private static final class Tally {
    private final RateExcessMeter meter;
    private long withinLimit;
    private long refused;

    private Tally(RateExcessMeter meter) {
      this.meter = meter;
    }

    private void add(boolean isWithinLimit, boolean admitted, long now) {
      withinLimit += isWithinLimit ? 1 : 0;
      refused += isWithinLimit && !admitted ? 1 : 0;
      if (admitted) {
        meter.recordAdmission(now);
      }
    }
  }
}
