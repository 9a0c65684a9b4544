package org.persimmonwalk.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.internal.control.lease.LeaseSettings;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.testing.LeaseFleet;
import org.persimmonwalk.testing.LeaseHost;
import org.persimmonwalk.testing.RateExcessMeter;

/** Guards against faults that violate an invariant only in combination. Failures are shrunk. */
class FaultScheduleTest {
  private static final WorkspaceId WORKSPACE = WorkspaceId.of("oil");
  private static final double RATE = 100;
  private static final double BURST = 40;
  private static final double ROUNDING = 1e-6;

  @Property(tries = 60, seed = "7315", edgeCases = EdgeCasesMode.NONE)
  void shouldKeepInvariantsUnderAnySchedule(
      @ForAll("schedules") List<FaultStep> steps, @ForAll @IntRange(max = 99) int seed) {
    assertThat(FaultSchedule.run(steps, seed)).isEmpty();
  }

  /**
   * Guards against faults that let the hosts together exceed a workspace's rate and burst. Pauses
   * may last longer than the leases of 20 s, and the store loses answers throughout.
   */
  @Property(tries = 40, seed = "7316", edgeCases = EdgeCasesMode.NONE)
  void shouldKeepRateAndBurstUnderAnySchedule(
      @ForAll("schedules") List<FaultStep> steps, @ForAll @IntRange(max = 99) int seed) {
    Workspace workspace = Workspace.of(WORKSPACE, RATE, BURST, Set.of());
    Configuration configuration =
        new Configuration(
            Revision.of(1),
            ReleaseNoteId.of("first"),
            Map.of(WORKSPACE, workspace),
            Map.of(),
            Map.of());
    LeaseSettings settings = new LeaseSettings(Duration.ofSeconds(20), Duration.ofSeconds(1));
    LeaseFleet fleet = new LeaseFleet(4, settings, configuration, seed);
    RateExcessMeter rateMeter = new RateExcessMeter(RATE);
    fleet.store().setLostAnswerPercent(30);
    sendBursts(fleet, rateMeter, Duration.ofSeconds(5));
    for (FaultStep step : steps) {
      injectFault(fleet, rateMeter, step);
      sendBursts(fleet, rateMeter, Duration.ofMillis(step.gapMillis() * 5L));
    }
    sendBursts(fleet, rateMeter, Duration.ofSeconds(60));
    assertThat(rateMeter.largestExcess()).isLessThanOrEqualTo(BURST + ROUNDING);
    assertThat(rateMeter.admitted()).isGreaterThan((long) RATE);
  }

  private static void injectFault(LeaseFleet fleet, RateExcessMeter rateMeter, FaultStep step) {
    LeaseHost host = fleet.hosts().get(step.target() % fleet.hosts().size());
    Duration duration = Duration.ofMillis(step.durationMillis() * 8L);
    switch (step.fault()) {
      case HOST_PAUSED, PROMOTER_PAUSED -> {
        fleet.pause(host, duration);
        fleet.time().after(duration, () -> sendBurst(fleet, rateMeter));
      }
      case HOST_KILLED -> {
        if (fleet.hosts().size() > 2) {
          fleet.kill(host);
        }
      }
      case STORE_DOWN -> {
        fleet.store().setDown(true);
        fleet.time().after(duration, () -> fleet.store().setDown(false));
      }
      case HOST_CUT_FROM_PRIMARY, SERVER_ISOLATED -> {
        fleet.network().setPartitioned(true);
        fleet.time().after(duration, () -> fleet.network().setPartitioned(false));
      }
      default -> {
        fleet.network().setFaultPercent(20);
        fleet.time().after(duration, () -> fleet.network().setFaultPercent(0));
      }
    }
  }

  /** Sends statements in bursts, so that buckets are full when a paused host resumes. */
  private static void sendBursts(LeaseFleet fleet, RateExcessMeter rateMeter, Duration span) {
    Duration interval = Duration.ofMillis(500);
    for (long count = 0; count < span.dividedBy(interval); count++) {
      fleet.time().advance(interval);
      sendBurst(fleet, rateMeter);
    }
  }

  private static void sendBurst(LeaseFleet fleet, RateExcessMeter rateMeter) {
    for (LeaseHost host : fleet.hosts()) {
      for (int count = 0; count < 2 * BURST && host.admit(WORKSPACE); count++) {
        rateMeter.recordAdmission(fleet.time().now());
      }
    }
  }

  @Provide
  private Arbitrary<List<FaultStep>> schedules() {
    return Combinators.combine(
            Arbitraries.of(FaultStep.Fault.class),
            Arbitraries.integers().between(0, 2),
            Arbitraries.integers().between(300, 7000),
            Arbitraries.integers().between(50, 3000))
        .as(FaultStep::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(6);
  }
}
