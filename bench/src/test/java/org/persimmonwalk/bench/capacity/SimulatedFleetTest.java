package org.persimmonwalk.bench.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.model.HostPhase;

/** Guards against a fleet that never reaches its steady state: its load would measure too low. */
class SimulatedFleetTest {
  private static final Sizes SIZES = Sizes.of(3, 2, 4);
  private static final Duration START = Duration.ofSeconds(8);

  @Test
  void shouldServeWithSharesConnectionsAndConfirmedPrimaries() {
    try (SimulatedFleet fleet = SimulatedFleet.of(SIZES, Duration.ofMillis(1))) {
      fleet.run(START);
      Snapshot snapshot = fleet.host(0).loop().snapshot();
      assertThat(snapshot.get(Entries.HOST_PHASE)).isEqualTo(HostPhase.SERVING);
      assertThat(snapshot.get(Entries.LIVE_HOSTS)).hasSize(SIZES.hosts());
      assertThat(snapshot.get(Entries.SHARES)).hasSize(SIZES.workspaces());
      assertThat(snapshot.get(Entries.SHARES).values()).allMatch(lease -> lease.rate() > 0);
      assertThat(snapshot.get(Entries.CONNECTION_ALLOWANCES).values())
          .hasSize(SIZES.groups() * Sizes.SERVERS_PER_GROUP)
          .allMatch(allowance -> allowance > 0);
      assertThat(snapshot.get(Entries.GROUPS).values())
          .hasSize(SIZES.groups())
          .allMatch(group -> group.newestConfirmed().isPresent());
    }
  }

  /** Guards against counts that depend on the speed of the machine. */
  @Test
  void shouldCountTheSameRequestsInEachRun() {
    assertThat(countsOfOneRun()).isEqualTo(countsOfOneRun());
  }

  /**
   * Guards against a control loop that runs rounds while nothing is due; only probes every 50 ms
   * and timers may wake it.
   */
  @Test
  void shouldNotRunRoundsWithoutCause() {
    try (SimulatedFleet fleet = SimulatedFleet.of(SIZES, Duration.ofMillis(1))) {
      fleet.run(START);
      long before = fleet.host(0).counts().rounds();
      fleet.run(Duration.ofSeconds(1));
      assertThat(fleet.host(0).counts().rounds() - before).isBetween(50L, 200L);
    }
  }

  private static StoreCounts countsOfOneRun() {
    try (SimulatedFleet fleet = SimulatedFleet.withoutProbes(SIZES, Duration.ofMillis(100))) {
      fleet.run(Duration.ofMinutes(2));
      StoreCounts counts = fleet.store().counts();
      assertThat(counts.writes()).isPositive();
      assertThat(counts.configurationReads()).isGreaterThan(300);
      return counts;
    }
  }
}
