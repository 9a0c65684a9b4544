package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.persimmonwalk.engine.RouteKind;

/** Replays bursts of the two deployments of docs/load-across-hosts.md on the pools of all hosts. */
class UrgencyReplayTest {
  static final List<UrgencyReplay.Load> DEPLOYMENT_A =
      List.of(
          new UrgencyReplay.Load("redeem", RouteKind.PRIMARY, 0, 88.3, 4.5, 151, 2014, 0.35, 0.40),
          new UrgencyReplay.Load(
              "statement", RouteKind.READ_OWN_WRITES, 1, 414, 14, 251, 2009, 0.12, 0.12),
          new UrgencyReplay.Load(
              "balance", RouteKind.BOUNDED_STALENESS, 2, 154, 22, 801, 6008, 0, 0.10));
  static final List<UrgencyReplay.Load> DEPLOYMENT_B =
      List.of(
          new UrgencyReplay.Load(
              "crew-confirm", RouteKind.PRIMARY, 0, 111, 2.5, 121, 1009, 0.20, 0.25),
          new UrgencyReplay.Load(
              "slot-browse", RouteKind.BOUNDED_STALENESS, 1, 111, 13, 301, 3011, 0, 0),
          new UrgencyReplay.Load(
              "route-rebalance", RouteKind.READ_OWN_WRITES, 2, 517, 7.6, 201, 1005, 0.12, 0.12));

  private static final Duration WARM_UP = Duration.ofSeconds(10);
  private static final Duration BURST = Duration.ofSeconds(10);
  private static final Duration AFTERWARDS = Duration.ofSeconds(10);

  private static UrgencyReplay deploymentA() {
    return new UrgencyReplay(94, 112, DEPLOYMENT_A);
  }

  private static UrgencyReplay deploymentB() {
    return new UrgencyReplay(32, 70, DEPLOYMENT_B);
  }

  /** Plays a burst of all callers, of one large workspace, or of both, and the time after it. */
  private static UrgencyReplay burst(UrgencyReplay replay, double all, double large) {
    replay.run(WARM_UP);
    replay.clear();
    replay.burst = all;
    replay.largeBurst = large;
    replay.run(BURST);
    replay.burst = 1;
    replay.largeBurst = 1;
    replay.run(AFTERWARDS);
    return replay;
  }

  /** Guards against a replay that is overloaded by itself. */
  @Test
  void shouldServeEverythingInCalmOperation() {
    for (UrgencyReplay replay : List.of(deploymentA(), deploymentB())) {
      burst(replay, 1, 1);

      assertThat(replay.tallies.values()).allMatch(tally -> tally.refused + tally.late == 0);
      assertThat(replay.counted.keySet()).noneMatch(event -> event.startsWith("urgency."));
    }
  }

  /** Guards against any change where no urgent route is in danger, as in calm operation. */
  @Test
  void shouldBehaveAsWithOnePriorityInCalmOperation() {
    UrgencyReplay prioritized = burst(deploymentA(), 1, 1);
    UrgencyReplay alike = burst(new UrgencyReplay(94, 112, ofOnePriority(DEPLOYMENT_A)), 1, 1);

    assertThat(prioritized.tallies).hasToString(alike.tallies.toString());
    assertThat(prioritized.counted).isEqualTo(alike.counted);
  }

  private static List<UrgencyReplay.Load> ofOnePriority(List<UrgencyReplay.Load> loads) {
    return loads.stream().map(load -> load.withPriority(1)).toList();
  }

  /**
   * Guards against any change where all routes have the same priority. The figures were recorded
   * before priorities counted across hosts.
   */
  @Test
  void shouldChangeNothingWithOnePriority() {
    UrgencyReplay a = burst(new UrgencyReplay(94, 112, ofOnePriority(DEPLOYMENT_A)), 4, 1);
    UrgencyReplay b = burst(new UrgencyReplay(32, 70, ofOnePriority(DEPLOYMENT_B)), 4, 1);

    assertThat(a.tallies.toString())
        .isEqualTo(
            "{balance=started 7612, in time 7517, late 0, refused 87, unknown 0, "
                + "redeem=started 4347, in time 2739, late 379, refused 1228, unknown 0, "
                + "statement=started 20838, in time 18137, late 420, refused 2264, unknown 0}");
    assertThat(a.counted.toString())
        .isEqualTo(
            "{connection.opened=29965, statement.failed.NO_CONNECTION_LEFT=21, "
                + "statement.failed.OVERLOADED=3558, statement.retried=7578}");
    assertThat(b.tallies.toString())
        .isEqualTo(
            "{crew-confirm=started 5468, in time 5107, late 76, refused 282, unknown 0, "
                + "route-rebalance=started 25749, in time 25223, late 114, refused 399, "
                + "unknown 0, "
                + "slot-browse=started 5545, in time 5486, late 0, refused 55, unknown 0}");
    assertThat(b.counted.toString())
        .isEqualTo(
            "{connection.opened=25932, statement.failed.NO_CONNECTION_LEFT=1, "
                + "statement.failed.OVERLOADED=735, statement.retried=1654}");
  }

  /** Guards against urgent operations that bulk work of all hosts crowds out: 1,240 of 4,347. */
  @Test
  void shouldRefuseHardlyAnyUrgentOperationInABurstOfAllCallers() {
    UrgencyReplay a = burst(deploymentA(), 4, 1);
    UrgencyReplay b = burst(deploymentB(), 4, 1);

    // Before: 2,751 in time and 1,240 refused; 5,109 in time and 269 refused. No target is stated
    // for the numbers in time and the served parts: these bounds follow from results.
    assertThat(a.tally("redeem").refused).isLessThan(4347 * 2 / 100);
    assertThat(a.tally("redeem").inTime).isGreaterThan(3200);
    assertThat(b.tally("crew-confirm").refused).isLessThan(5468 / 100);
    assertThat(b.tally("crew-confirm").inTime).isGreaterThan(5250);
    assertBulkIsServed(a, 0.85);
    assertBulkIsServed(b, 0.95);
  }

  private static void assertBulkIsServed(UrgencyReplay replay, double part) {
    replay.tallies.forEach(
        (route, tally) ->
            assertThat(tally.inTime + tally.late)
                .as(route)
                .isGreaterThan((int) (part * tally.started)));
  }

  /** Guards against urgent operations of all hosts that one large workspace crowds out. */
  @Test
  void shouldServeUrgentOperationsBesideALargeWorkspaceInABurst() {
    UrgencyReplay both = burst(deploymentA(), 4, 8);

    // Before: 2,840 in time and 2,305 refused.
    assertThat(both.tally("redeem").refused).isLessThan(2305 / 4);
    assertThat(both.tally("redeem").inTime).isGreaterThan(2840);
  }

  /** Guards against a decision that depends on the relays, which only make it better. */
  @Test
  void shouldServeUrgentOperationsWithoutReportsOfTheZone() {
    UrgencyReplay replay = deploymentA();
    replay.zones.reporting = false;

    burst(replay, 4, 1);

    assertThat(replay.tally("redeem").refused).isLessThan(1240 / 4);
  }

  /** Guards against bulk work that starves, or holds up others, at a server that is slow. */
  @Test
  void shouldServeBulkWorkWhileAPrimaryIsSlow() {
    UrgencyReplay replay = deploymentA();
    replay.servers.slowness.put(UrgencyReplay.serverId(0, 0), 4.0);

    burst(replay, 1, 1);

    assertBulkIsServed(replay, 0.9);
  }

  /** Guards against hosts that know nothing of the servers yet and start all at once. */
  @Test
  void shouldServeUrgentOperationsWhileAllHostsStartInABurst() {
    UrgencyReplay replay = deploymentA();
    replay.burst = 4;

    replay.run(BURST);

    // Before: 1,362 of 3,594 refused. No target is stated: the bound follows from results.
    assertThat(replay.tally("redeem").refused).isLessThan(1362 / 4);
  }

  /** Prints the figures of docs/design/urgency-across-hosts.md. */
  @Test
  @EnabledIfSystemProperty(named = "persimmonwalk.replay", matches = "true")
  void printFigures() {
    for (double[] burst : new double[][] {{1, 1}, {4, 1}, {8, 1}, {1, 8}, {4, 8}}) {
      for (UrgencyReplay replay : List.of(deploymentA(), deploymentB())) {
        burst(replay, burst[0], burst[1]);
        System.out.println("all x" + burst[0] + ", large workspace x" + burst[1]);
        replay.tallies.forEach((route, tally) -> System.out.println("  " + route + ": " + tally));
        System.out.println("  " + replay.counted);
      }
    }
  }
}
