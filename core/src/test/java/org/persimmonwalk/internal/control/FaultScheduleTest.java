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
import org.persimmonwalk.testing.FakeFleet;
import org.persimmonwalk.testing.FakeHost;
import org.persimmonwalk.testing.RateWitness;

/** Guards against faults that break an invariant only in combination; a failure is shrunk. */
class FaultScheduleTest {
  private static final WorkspaceId OIL = WorkspaceId.of("oil");
  private static final double RATE = 100;
  private static final double BURST = 40;
  private static final double ROUNDING = 1e-6;

  @Property(tries = 60, seed = "7315", edgeCases = EdgeCasesMode.NONE)
  void shouldKeepInvariantsUnderAnySchedule(
      @ForAll("schedules") List<FaultStep> steps, @ForAll @IntRange(max = 99) int seed) {
    assertThat(FaultSchedule.run(steps, seed)).isEmpty();
  }

  /** Pauses here outlast the leases of 20 s; answers of the store are lost all the time. */
  @Property(tries = 40, seed = "7316", edgeCases = EdgeCasesMode.NONE)
  void shouldKeepRateAndBurstUnderAnySchedule(
      @ForAll("schedules") List<FaultStep> steps, @ForAll @IntRange(max = 99) int seed) {
    Workspace workspace = Workspace.of(OIL, RATE, BURST, Set.of());
    Configuration configuration =
        new Configuration(
            Revision.of(1), ReleaseNoteId.of("first"), Map.of(OIL, workspace), Map.of(), Map.of());
    LeaseSettings settings = new LeaseSettings(Duration.ofSeconds(20), Duration.ofSeconds(1));
    FakeFleet fleet = new FakeFleet(4, settings, configuration, seed);
    RateWitness witness = new RateWitness(RATE);
    fleet.store().setPercentLost(30);
    ask(fleet, witness, Duration.ofSeconds(5));
    for (FaultStep step : steps) {
      disturb(fleet, witness, step);
      ask(fleet, witness, Duration.ofMillis(step.gapMillis() * 5L));
    }
    ask(fleet, witness, Duration.ofSeconds(60));
    assertThat(witness.highest()).isLessThanOrEqualTo(BURST + ROUNDING);
    assertThat(witness.admitted()).isGreaterThan((long) RATE);
  }

  private static void disturb(FakeFleet fleet, RateWitness witness, FaultStep step) {
    FakeHost host = fleet.hosts().get(step.target() % fleet.hosts().size());
    Duration hold = Duration.ofMillis(step.holdMillis() * 8L);
    switch (step.fault()) {
      case HOST_PAUSED, PROMOTER_PAUSED -> {
        fleet.pause(host, hold);
        fleet.time().after(hold, () -> pulse(fleet, witness));
      }
      case HOST_KILLED -> {
        if (fleet.hosts().size() > 2) {
          fleet.kill(host);
        }
      }
      case STORE_DOWN -> {
        fleet.store().setDown(true);
        fleet.time().after(hold, () -> fleet.store().setDown(false));
      }
      case HOST_CUT_FROM_PRIMARY, SERVER_ISOLATED -> {
        fleet.network().setSplit(true);
        fleet.time().after(hold, () -> fleet.network().setSplit(false));
      }
      default -> {
        fleet.network().setPercentDisturbed(20);
        fleet.time().after(hold, () -> fleet.network().setPercentDisturbed(0));
      }
    }
  }

  /** Asks in pulses, so that buckets are full when a paused host goes on. */
  private static void ask(FakeFleet fleet, RateWitness witness, Duration span) {
    Duration interval = Duration.ofMillis(500);
    for (long count = 0; count < span.dividedBy(interval); count++) {
      fleet.time().advance(interval);
      pulse(fleet, witness);
    }
  }

  private static void pulse(FakeFleet fleet, RateWitness witness) {
    for (FakeHost host : fleet.hosts()) {
      for (int count = 0; count < 2 * BURST && host.admit(OIL); count++) {
        witness.admitted(fleet.time().now());
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
