package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonwalk.internal.engine.traffic.ColdScenario.BOUND;
import static org.persimmonwalk.internal.engine.traffic.ColdScenario.OTHER_REPLICA;
import static org.persimmonwalk.internal.engine.traffic.ColdScenario.PRIMARY;
import static org.persimmonwalk.internal.engine.traffic.ColdScenario.REPLICA;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.RelayHost;
import org.persimmonwalk.engine.control.RelayRole;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.internal.engine.traffic.ColdScenario.Load;
import org.persimmonwalk.model.MonotonicTime;

/** Tests promotions that cold servers cause or take part in. */
class ColdPrimaryTest {
  private static final Statement WRITE = new Statement.Data(true, "WRITE x 1");

  /** The announcement, the time of the switch and a poll with pauses. */
  private static final Duration SWITCH_TIME = Duration.ofSeconds(8);

  /** Guards against writes that are slow, or refused, for the whole cold time of the primary. */
  @Test
  void shouldReplaceAColdPrimaryWithinTheBoundOfRequests() {
    ColdScenario scenario = ColdScenario.limited(12, 3);
    List<Load> loads = scenario.loadOnAllHosts(RouteKind.PRIMARY, WRITE);
    scenario.run(loads, Duration.ofSeconds(1));
    scenario.reportColdLeft(PRIMARY, Duration.ofSeconds(20));
    scenario.fixture.run(Duration.ofSeconds(3));
    MonotonicTime coldAt = scenario.fixture.clock.now();
    scenario.run(loads, SWITCH_TIME);

    assertThat(scenario.fixture.promotions).hasSize(1);
    scenario.fixture.hosts.forEach(
        host -> assertThat(scenario.primaryAt(host)).isPresent().isNotEqualTo(PRIMARY));
    loads.forEach(load -> assertThat(load.caller.lastCode()).isEmpty());
    assertThat(scenario.busiestSecond(PRIMARY, coldAt)).isBetween(1, BOUND);
  }

  /** Guards against statements to a cold primary from a host that has no part of the bound. */
  @Test
  void shouldRefuseAtOnceWhatOnlyAColdPrimaryCanRun() {
    ColdScenario scenario = ColdScenario.limited(4, 1);
    Load load = scenario.load(scenario.anyClient(), RouteKind.PRIMARY, WRITE);
    scenario.run(List.of(load), Duration.ofSeconds(1));
    scenario.reportColdLeft(PRIMARY, Duration.ofSeconds(20));
    scenario.fixture.run(Duration.ofMillis(2500));
    int before = scenario.requests(PRIMARY);
    load.send();

    assertThat(load.caller.lastCode()).contains(FailureCode.OVERLOADED);
    assertThat(scenario.requests(PRIMARY)).isEqualTo(before);
  }

  /** Guards against a promotion by a host that could not ask the cold primary for its log. */
  @Test
  void shouldPromoteByARelayOnly() {
    ColdScenario scenario = ColdScenario.limited(12, 3);
    Set<EntryHostId> relays =
        scenario.fixture.hosts.stream()
            .map(host -> scenario.fixture.entry(host, EngineEntries.RELAY_ROLE))
            .map(RelayRole::relay)
            .flatMap(relay -> relay.stream().map(RelayHost::host))
            .collect(Collectors.toSet());
    scenario.reportColdLeft(PRIMARY, Duration.ofSeconds(20));
    scenario.fixture.run(SWITCH_TIME);

    assertThat(scenario.fixture.promotions).hasSize(1);
    assertThat(relays).hasSize(3).contains(scenario.fixture.promotions.get(0).holder());
  }

  /** Guards against a new primary that has to be replaced again since it is cold. */
  @Test
  void shouldPromoteAWarmReplicaRatherThanAColdOneWithTheSameLog() {
    for (var cold : List.of(REPLICA, OTHER_REPLICA)) {
      ColdScenario scenario = ColdScenario.limited(4, 1);
      scenario.reportColdLeft(cold, Duration.ofSeconds(20));
      scenario.reportColdLeft(PRIMARY, Duration.ofSeconds(20));
      scenario.fixture.run(SWITCH_TIME);

      assertThat(scenario.fixture.promotions).hasSize(1);
      assertThat(scenario.fixture.promotions.get(0).server().id()).isNotEqualTo(cold);
    }
  }

  /** Guards against promotions that gain nothing. */
  @Test
  void shouldKeepAColdPrimaryIfAllServersAreCold() {
    ColdScenario scenario = ColdScenario.limited(4, 1);
    List.of(PRIMARY, REPLICA, OTHER_REPLICA)
        .forEach(server -> scenario.reportColdLeft(server, Duration.ofSeconds(20)));
    scenario.fixture.run(SWITCH_TIME);

    assertThat(scenario.fixture.promotions).isEmpty();
  }

  /** Guards against a promotion because one host lost a connection. */
  @Test
  void shouldKeepAPrimaryWhoseConnectionsWereLost() {
    ColdScenario scenario = ColdScenario.limited(4, 1);
    Load load = scenario.load(scenario.anyClient(), RouteKind.PRIMARY, WRITE);
    scenario.run(List.of(load), Duration.ofSeconds(1));
    scenario.loseConnections(PRIMARY);
    scenario.run(List.of(load), SWITCH_TIME);

    assertThat(scenario.fixture.promotions).isEmpty();
    assertThat(load.caller.lastCode()).isEmpty();
  }

  /** Guards against a crash that is noticed late since hosts may not try the server any more. */
  @Test
  void shouldReplaceACrashedPrimaryAboutAsSoonAsWithoutTheBounds() {
    Duration without = timeToPromotion(ColdScenario.unlimited(12, 3));
    Duration with = timeToPromotion(ColdScenario.limited(12, 3));

    // A relay that did not announce the replacement itself takes over 0.8 to 1.8 s later.
    assertThat(with).isLessThan(without.plus(Duration.ofMillis(2000)));
  }

  private static Duration timeToPromotion(ColdScenario scenario) {
    List<Load> loads = scenario.loadOnAllHosts(RouteKind.PRIMARY, WRITE);
    scenario.run(loads, Duration.ofSeconds(1));
    MonotonicTime crashedAt = scenario.fixture.clock.now();
    scenario.crash(PRIMARY);
    for (int i = 0; i < 200 && scenario.fixture.promotions.isEmpty(); i++) {
      scenario.run(loads, Duration.ofMillis(50));
    }
    assertThat(scenario.fixture.promotions).isNotEmpty();
    return scenario.fixture.clock.now().since(crashedAt);
  }

  /** Guards against a deployment without bounds in which a cold primary is replaced. */
  @Test
  void shouldKeepAColdPrimaryWithoutTheBounds() {
    ColdScenario scenario = ColdScenario.unlimited(4, 1);
    scenario.reportColdLeft(PRIMARY, Duration.ofSeconds(20));
    scenario.fixture.run(SWITCH_TIME);

    assertThat(scenario.fixture.promotions).isEmpty();
    assertThat(EngineSettingsFixture.of(0, 1, EngineSettingsFixture.USUAL_BOUNDS).coldBounds())
        .isEmpty();
  }
}
