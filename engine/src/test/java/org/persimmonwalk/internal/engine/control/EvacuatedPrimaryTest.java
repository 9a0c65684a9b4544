package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonwalk.internal.engine.control.PromotionScenario.LONG_LOG_REPLICA;
import static org.persimmonwalk.internal.engine.control.PromotionScenario.PRIMARY;
import static org.persimmonwalk.internal.engine.control.PromotionScenario.SHORT_LOG_REPLICA;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.ServerStatusRead;
import org.persimmonwalk.engine.control.ServerUnreachable;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.id.BackendServerId;

/** Guards against primaries that stay in an evacuated zone, or are moved into one. */
class EvacuatedPrimaryTest {
  private static final Duration MOVED = Duration.ofMillis(7500);

  private final PromotionScenario scenario =
      new PromotionScenario(StoreEra.UNKNOWN, EngineSettingsFixture.BOUNDS_WITH_EVACUATION);
  private final EngineFixture fixture = scenario.fixture;

  private void start(String zoneOfShortLog, String zoneOfLongLog) {
    fixture.statuses.put(PRIMARY, new ServerStatusRead.Status(true, 3, TermPosition.of(3, 101)));
    fixture.operator.place(SHORT_LOG_REPLICA.value(), zoneOfShortLog);
    fixture.operator.place(LONG_LOG_REPLICA.value(), zoneOfLongLog);
    fixture.run(Duration.ofSeconds(4));
  }

  private void assertPrimary(BackendServerId server) {
    assertThat(fixture.hosts)
        .allSatisfy(host -> assertThat(scenario.primaryOf(host)).isEqualTo(server));
  }

  @Test
  void shouldMoveThePrimaryToTheLongestLogOutsideTheZone() {
    start("b", "c");
    fixture.operator.evacuate("a");
    fixture.run(MOVED);

    assertThat(fixture.promotions).hasSize(1);
    assertPrimary(LONG_LOG_REPLICA);
    assertThat(fixture.events)
        .anyMatch(
            event ->
                event.startsWith("primary-replacement-announced") && event.contains("SWITCHING"));
  }

  /** Guards against a longer log in the evacuated zone that draws the primary there. */
  @Test
  void shouldPreferAServerOutsideTheZone() {
    start("b", "a");
    fixture.statuses.put(
        SHORT_LOG_REPLICA, new ServerStatusRead.Status(false, 3, TermPosition.of(3, 101)));
    fixture.operator.evacuate("a");
    fixture.run(MOVED);

    assertThat(fixture.promotions).hasSize(1);
    assertPrimary(SHORT_LOG_REPLICA);
  }

  /** Guards against the loss of acknowledged commits that only the evacuated zone has. */
  @Test
  void shouldTakeTheLogOverFromASynchronousReplicaOfTheZone() {
    scenario.useSynchronousReplica();
    start("b", "a");
    fixture.operator.evacuate("a");
    fixture.run(Duration.ofMillis(5500));
    assertThat(fixture.promotions).allMatch(order -> order.server().id().equals(LONG_LOG_REPLICA));

    fixture.statuses.put(
        SHORT_LOG_REPLICA, new ServerStatusRead.Status(false, 4, TermPosition.of(4, 1)));
    fixture.run(Duration.ofSeconds(6));

    assertPrimary(SHORT_LOG_REPLICA);
  }

  @Test
  void shouldMoveThePrimaryWhenTwoZonesAreEvacuatedAtOnce() {
    start("b", "c");
    fixture.operator.evacuate("a");
    fixture.operator.evacuate("c");
    fixture.run(MOVED.plusMillis(1000));

    assertThat(fixture.promotions).allMatch(order -> order.server().id().equals(SHORT_LOG_REPLICA));
    assertPrimary(SHORT_LOG_REPLICA);
  }

  /** Guards against a primary that goes back and forth with the evacuation. */
  @Test
  void shouldLeaveThePrimaryWhereItIsWhenTheZoneIsTakenBack() {
    start("b", "c");
    fixture.operator.evacuate("a");
    fixture.run(MOVED);
    fixture.operator.takeBack("a");
    fixture.run(Duration.ofSeconds(15));

    assertThat(fixture.promotions).hasSize(1);
    assertPrimary(LONG_LOG_REPLICA);
  }

  /** Guards against promotions that help nobody, and against a group that stays without primary. */
  @Test
  void shouldPromoteNothingWhenTheWholeGroupIsEvacuated() {
    start("a", "a");
    fixture.operator.evacuate("a");
    fixture.run(Duration.ofSeconds(15));
    assertThat(fixture.promotions).isEmpty();
    assertThat(fixture.events)
        .noneMatch(event -> event.startsWith("primary-replacement-announced"));

    fixture.operator.takeBack("a");
    fixture.run(Duration.ofSeconds(2));

    assertPrimary(PRIMARY);
    assertThat(fixture.hosts).allMatch(scenario::usesAPrimary);
  }

  /** Guards against a lease that is held for a group without candidates. */
  @Test
  void shouldReplaceACrashedPrimaryOnlyAfterTheEvacuationOfTheWholeGroup() {
    start("a", "a");
    scenario.reportUnreachable(4);
    fixture.run(Duration.ofSeconds(1));
    fixture.statuses.remove(PRIMARY);
    fixture.operator.evacuate("a");
    fixture.run(Duration.ofSeconds(12));
    assertThat(fixture.promotions).isEmpty();

    fixture.operator.takeBack("a");
    fixture.run(Duration.ofSeconds(8));

    assertPrimary(LONG_LOG_REPLICA);
  }

  /** Guards against an unplanned replacement that promotes a server of the evacuated zone. */
  @Test
  void shouldNotPromoteIntoAnEvacuatedZoneAfterACrash() {
    start("b", "c");
    fixture.operator.evacuate("c");
    fixture.run(Duration.ofSeconds(2));
    fixture.statuses.remove(PRIMARY);
    ServerEntry crashed = fixture.entries.get(PRIMARY);
    for (Engine host : fixture.hosts) {
      host.loop().post(new ServerUnreachable(crashed));
    }
    fixture.run(Duration.ofSeconds(7));

    assertPrimary(SHORT_LOG_REPLICA);
  }

  /** Guards against a drain beside an evacuation that leaves a primary on either. */
  @Test
  void shouldMoveThePrimaryBesideADrain() {
    start("b", "c");
    scenario.setDraining(LONG_LOG_REPLICA);
    fixture.operator.evacuate("a");
    fixture.run(MOVED.plusMillis(1000));

    assertPrimary(SHORT_LOG_REPLICA);
  }

  /** Guards against a promotion whose only candidate is draining, which could not stay. */
  @Test
  void shouldKeepThePrimaryWhenOnlyADrainingServerIsOutsideTheZone() {
    start("b", "a");
    scenario.setDraining(SHORT_LOG_REPLICA);
    fixture.run(Duration.ofSeconds(3));
    fixture.operator.evacuate("a");
    fixture.run(MOVED);

    assertThat(fixture.promotions).isEmpty();
    assertPrimary(PRIMARY);
  }

  /** Guards against a planned switch that stops with the host that announced it. */
  @Test
  void shouldMoveThePrimaryWhenTheRelayDiesHalfway() {
    start("b", "c");
    fixture.operator.evacuate("a");
    fixture.run(Duration.ofMillis(2500));
    Engine relay =
        fixture.hosts.stream()
            .filter(
                host -> fixture.entry(host, EngineEntries.RELAY_ROLE).kind().name().equals("RELAY"))
            .findFirst()
            .orElseThrow();
    fixture.freeze(relay, true);
    fixture.run(Duration.ofSeconds(9));

    assertThat(fixture.hosts.stream().filter(host -> host != relay))
        .allSatisfy(host -> assertThat(scenario.primaryOf(host)).isEqualTo(LONG_LOG_REPLICA));
  }
}
