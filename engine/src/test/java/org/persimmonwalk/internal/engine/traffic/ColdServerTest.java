package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonwalk.internal.engine.traffic.ColdScenario.BOUND;
import static org.persimmonwalk.internal.engine.traffic.ColdScenario.OTHER_REPLICA;
import static org.persimmonwalk.internal.engine.traffic.ColdScenario.PRIMARY;
import static org.persimmonwalk.internal.engine.traffic.ColdScenario.REPLICA;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.internal.engine.traffic.ColdScenario.Load;
import org.persimmonwalk.model.MonotonicTime;

/** Tests that all hosts together send a cold server no more than the bound. */
class ColdServerTest {
  private static final Statement READ = new Statement.Data(false, "READ x");
  private static final Statement WRITE = new Statement.Data(true, "WRITE x 1");

  /** Guards against a burst of all hosts, also while one relay takes over from another. */
  @Test
  void shouldKeepTheBoundWithThirtyHostsInThreeZonesAndAChangeOfRelay() {
    ColdScenario scenario = ColdScenario.limited(30, 3);
    List<Load> loads = scenario.loadOnAllHosts(RouteKind.BOUNDED_STALENESS, READ);
    loads.addAll(scenario.loadOnAllHosts(RouteKind.PRIMARY, WRITE));
    scenario.run(loads, Duration.ofSeconds(1));
    MonotonicTime restartedAt = scenario.fixture.clock.now();
    scenario.restartAllCold();
    scenario.run(loads, Duration.ofSeconds(8));
    int requestsOfTheFirstRelays = scenario.requests(PRIMARY);
    Engine relay = scenario.relays().get(0);
    scenario.fixture.cutOff(relay, true);
    scenario.fixture.peersAreReachable = false;
    scenario.run(loads, Duration.ofSeconds(2));
    scenario.fixture.peersAreReachable = true;
    scenario.run(loads, Duration.ofSeconds(6));

    assertThat(requestsOfTheFirstRelays).isPositive();
    assertThat(scenario.requests(PRIMARY)).isGreaterThan(requestsOfTheFirstRelays);
    assertThat(scenario.relays().size())
        .as("the relay that is cut off and another one")
        .isGreaterThan(3);
    for (BackendServerId server : scenario.fixture.entries.keySet()) {
      assertThat(scenario.busiestSecond(server, restartedAt)).isLessThanOrEqualTo(BOUND);
    }
  }

  /** Guards against a relay that continues with its old role after its machine was suspended. */
  @Test
  void shouldSendNothingAfterAPauseUntilTheRoleIsVerifiedAgain() {
    ColdScenario scenario = ColdScenario.limited(4, 1);
    scenario.restartAllCold();
    scenario.fixture.run(Duration.ofSeconds(5));
    Engine relay = scenario.relays().get(0);
    scenario.fixture.cutOff(relay, true);
    scenario.fixture.stepWallClock(Duration.ofSeconds(10));
    int before = scenario.requests(PRIMARY);

    Load load = scenario.load(relay, RouteKind.PRIMARY, WRITE);
    load.send();

    assertThat(load.caller.lastCode()).contains(FailureCode.OVERLOADED);
    assertThat(scenario.requests(PRIMARY)).isEqualTo(before);
  }

  /** Guards against load on a restarted server before the list shows the restart. */
  @Test
  void shouldSendNothingAfterALostConnectionUntilAListShowsTheSameProcess() {
    ColdScenario scenario = ColdScenario.limited(4, 1);
    Load load = scenario.load(scenario.anyClient(), RouteKind.PRIMARY, WRITE);
    scenario.run(List.of(load), Duration.ofSeconds(1));
    assertThat(load.caller.lastCode()).isEmpty();
    scenario.loseConnections(PRIMARY);
    int before = scenario.requests(PRIMARY);

    scenario.run(List.of(load), Duration.ofMillis(500));
    assertThat(load.caller.lastCode()).contains(FailureCode.OVERLOADED);
    assertThat(scenario.requests(PRIMARY)).isEqualTo(before);

    scenario.run(List.of(load), Duration.ofSeconds(9));
    assertThat(load.caller.lastCode()).isEmpty();
  }

  /** Guards against full load on a server that restarted within a moment, before its heartbeat. */
  @Test
  void shouldKeepTheBoundForARestartThatTheListDoesNotShowYet() {
    ColdScenario scenario = ColdScenario.limited(12, 3);
    List<Load> loads = scenario.loadOnAllHosts(RouteKind.PRIMARY, WRITE);
    scenario.run(loads, Duration.ofSeconds(1));
    MonotonicTime restartedAt = scenario.fixture.clock.now();
    scenario.restartUnseen(PRIMARY);
    scenario.run(loads, Duration.ofSeconds(5));

    assertThat(scenario.busiestSecond(PRIMARY, restartedAt)).isLessThanOrEqualTo(BOUND);
  }

  /** Guards against a host that stays away from a restarted server that the list shows as cold. */
  @Test
  void shouldUseTheServerAgainAfterItsColdTime() {
    ColdScenario scenario = ColdScenario.limited(4, 1);
    Engine host = scenario.anyClient();
    scenario.restartCold(REPLICA);
    scenario.fixture.run(Duration.ofSeconds(4));
    assertThat(scenario.isColdAt(host, REPLICA)).isTrue();

    scenario.reportColdLeft(REPLICA, Duration.ZERO);
    scenario.fixture.run(Duration.ofSeconds(4));

    assertThat(scenario.isColdAt(host, REPLICA)).isFalse();
    assertThat(scenario.fixture.events).anyMatch(event -> event.startsWith("server-cold"));
    assertThat(scenario.fixture.events).anyMatch(event -> event.startsWith("server-warm"));
  }

  /** Guards against reads on a cold server while warm ones can serve them. */
  @Test
  void shouldReadFromWarmServers() {
    ColdScenario scenario = ColdScenario.limited(4, 1);
    scenario.fixture.entries.remove(OTHER_REPLICA);
    scenario.restartCold(REPLICA);
    scenario.fixture.run(Duration.ofSeconds(4));
    List<Load> loads = scenario.loadOnAllHosts(RouteKind.BOUNDED_STALENESS, READ);
    scenario.run(loads, Duration.ofSeconds(3));

    assertThat(scenario.requests(REPLICA)).isZero();
    loads.forEach(load -> assertThat(load.caller.lastCode()).isEmpty());
  }

  /** Guards against a database without service for the whole cold time of all its servers. */
  @Test
  void shouldServeFromRelaysWhenAllServersAreCold() {
    ColdScenario scenario = ColdScenario.limited(4, 1);
    scenario.restartAllCold();
    scenario.fixture.run(Duration.ofSeconds(6));
    Engine relay = scenario.relays().get(0);
    Load atRelay = scenario.load(relay, RouteKind.PRIMARY, WRITE);
    Load atClient = scenario.load(scenario.anyClient(), RouteKind.PRIMARY, WRITE);
    scenario.run(List.of(atRelay, atClient), Duration.ofMillis(300));

    assertThat(atRelay.caller.succeeded()).isPositive();
    assertThat(atClient.caller.succeeded()).isZero();
    assertThat(atClient.caller.lastCode()).contains(FailureCode.OVERLOADED);
  }

  /** Guards against a transaction that is lost because its COMMIT does not fit into the second. */
  @Test
  void shouldLetATransactionContinueWithinThePart() {
    ColdScenario scenario = ColdScenario.limited(4, 1);
    scenario.restartAllCold();
    scenario.fixture.run(Duration.ofSeconds(6));
    Engine relay = scenario.relays().get(0);
    Load others = scenario.load(relay, RouteKind.PRIMARY, WRITE);
    Load transaction = scenario.load(relay, RouteKind.PRIMARY, new Statement.Begin(false));
    transaction.send();
    transaction.then(WRITE);
    for (int i = 0; i < BOUND; i++) {
      others.send();
      scenario.fixture.run(Duration.ofMillis(20));
    }
    assertThat(others.caller.lastCode()).contains(FailureCode.OVERLOADED);
    transaction.then(new Statement.Commit("COMMIT"));
    scenario.fixture.run(Duration.ofMillis(100));
    assertThat(transaction.caller.answered()).as("answers before COMMIT").isEqualTo(2);
    scenario.fixture.run(Duration.ofMillis(700));

    assertThat(transaction.caller.answered()).isEqualTo(3);
    assertThat(transaction.caller.lastCode()).isEmpty();
  }

  /** Guards against statements, ROLLBACK among them, of transactions that began before. */
  @Test
  void shouldSendNothingMoreOfATransactionAtAHostWithoutAPart() {
    ColdScenario scenario = ColdScenario.limited(4, 1);
    Engine host = scenario.anyClient();
    Load transaction = scenario.load(host, RouteKind.PRIMARY, new Statement.Begin(false));
    transaction.send();
    transaction.then(WRITE);
    scenario.fixture.run(Duration.ofMillis(300));
    assertThat(transaction.caller.succeeded()).isEqualTo(2);
    scenario.reportColdLeft(PRIMARY, Duration.ofSeconds(20));
    scenario.fixture.run(Duration.ofMillis(2500));
    int before = scenario.requests(PRIMARY);

    transaction.then(WRITE);
    assertThat(transaction.caller.lastCode()).contains(FailureCode.OVERLOADED);
    transaction.then(new Statement.Commit("COMMIT"));

    assertThat(transaction.caller.lastCode()).contains(FailureCode.ABORTED);
    assertThat(scenario.requests(PRIMARY)).isEqualTo(before);
  }

  /** Guards against a change for deployments whose settings have no bounds. */
  @Test
  void shouldTreatColdServersLikeOthersWithoutBounds() {
    ColdScenario scenario = ColdScenario.unlimited(4, 1);
    scenario.restartAllCold();
    scenario.fixture.run(Duration.ofSeconds(6));
    List<Load> loads = scenario.loadOnAllHosts(RouteKind.PRIMARY, WRITE);
    scenario.run(loads, Duration.ofSeconds(2));

    loads.forEach(load -> assertThat(load.caller.lastCode()).isEmpty());
    scenario.fixture.hosts.forEach(
        host -> assertThat(scenario.fixture.entry(host, EngineEntries.COLD_SERVERS)).isEmpty());
    assertThat(scenario.fixture.events).noneMatch(event -> event.startsWith("server-cold"));
  }
}
