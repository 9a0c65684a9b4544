package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonwalk.internal.engine.traffic.ColdScenario.BOUND;
import static org.persimmonwalk.internal.engine.traffic.ColdScenario.OTHER_REPLICA;
import static org.persimmonwalk.internal.engine.traffic.ColdScenario.PRIMARY;
import static org.persimmonwalk.internal.engine.traffic.ColdScenario.REPLICA;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.ServerConnectionLost;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.internal.engine.traffic.ColdScenario.Load;
import org.persimmonwalk.model.MonotonicTime;

/** Tests that hosts tell each other of servers that may have restarted. */
class RestartNoticeTest {
  private static final Statement READ = new Statement.Data(false, "READ x");
  private static final Statement WRITE = new Statement.Data(true, "WRITE x 1");

  /** Two exchanges: of the hosts that lost their connections, and of the others. */
  private static final Duration NOTICE_TIME = Duration.ofMillis(400);

  /** Until a list read 2.5 s after the loss has reached all hosts, which read it every 0.7 s. */
  private static final Duration SETTLED_TIME = Duration.ofMillis(4500);

  private static void lose(ColdScenario scenario, Engine host) {
    host.loop()
        .post(
            new ServerConnectionLost(scenario.entry(REPLICA), scenario.fixture.clock.now(), true));
  }

  private static List<Engine> clients(ColdScenario scenario) {
    return scenario.fixture.hosts.stream().filter(host -> !scenario.isRelay(host)).toList();
  }

  private static long hostsThatAvoid(ColdScenario scenario) {
    return scenario.fixture.hosts.stream().filter(host -> scenario.isColdAt(host, REPLICA)).count();
  }

  private static long suspicions(ColdScenario scenario) {
    return scenario.fixture.events.stream()
        .filter(event -> event.startsWith("restart-suspected"))
        .count();
  }

  private static int busiestSecondAfterRestarts(ColdScenario scenario, Runnable disturbance) {
    List<Load> loads = scenario.loadOnAllHosts(RouteKind.BOUNDED_STALENESS, READ);
    scenario.run(loads, Duration.ofSeconds(1));
    disturbance.run();
    MonotonicTime restartedAt = scenario.fixture.clock.now();
    List<BackendServerId> servers = List.of(PRIMARY, REPLICA, OTHER_REPLICA);
    servers.forEach(scenario::restartUnseen);
    scenario.run(loads, Duration.ofSeconds(8));
    return servers.stream()
        .mapToInt(server -> scenario.busiestSecond(server, restartedAt))
        .max()
        .orElseThrow();
  }

  /** Guards against a burst of the hosts that had no connection to a server that restarted. */
  @ParameterizedTest
  @ValueSource(ints = {0, 60, 130, 190, 240})
  void shouldKeepTheBoundWhenServersRestartWithoutDowntime(int phaseMillis) {
    ColdScenario scenario = ColdScenario.limited(30, 3);
    int busiest =
        busiestSecondAfterRestarts(
            scenario, () -> scenario.fixture.run(Duration.ofMillis(phaseMillis)));

    assertThat(busiest).isLessThanOrEqualTo(BOUND);
  }

  /**
   * Guards against a burst of the hosts of a zone whose relay is frozen. They learn of the restart
   * from the relays of other zones, with their requests for tokens.
   */
  @Test
  @Tag("known-red")
  void shouldKeepTheBoundWhileARelayIsFrozen() {
    ColdScenario scenario = ColdScenario.limited(30, 3);
    Engine relay = scenario.relays().get(0);
    int busiest = busiestSecondAfterRestarts(scenario, () -> scenario.fixture.freeze(relay, true));

    assertThat(busiest).isLessThanOrEqualTo(BOUND);
  }

  /** Guards against a burst of hosts that begin to use a server just after it has restarted. */
  @Test
  @Tag("known-red")
  void shouldKeepTheBoundForHostsThatHadNoConnection() {
    ColdScenario scenario = ColdScenario.limited(30, 3);
    List<Load> loads = scenario.loadOnAllHosts(RouteKind.PRIMARY, WRITE);
    scenario.run(loads.subList(0, 8), Duration.ofSeconds(2));
    MonotonicTime restartedAt = scenario.fixture.clock.now();
    scenario.restartUnseen(PRIMARY);
    scenario.run(loads, Duration.ofSeconds(5));

    assertThat(scenario.busiestSecond(PRIMARY, restartedAt)).isLessThanOrEqualTo(BOUND);
  }

  /** Guards against a server that hosts avoid, or that they use, longer than after an own loss. */
  @Test
  void shouldAvoidAServerUntilAListShowsTheSameProcess() {
    ColdScenario scenario = ColdScenario.limited(6, 1);
    clients(scenario).subList(0, 2).forEach(host -> lose(scenario, host));
    scenario.fixture.run(NOTICE_TIME);
    assertThat(hostsThatAvoid(scenario)).isEqualTo(6);
    scenario.fixture.run(Duration.ofMillis(2000));
    assertThat(hostsThatAvoid(scenario)).isEqualTo(6);
    scenario.fixture.run(SETTLED_TIME.minusMillis(2000));

    assertThat(hostsThatAvoid(scenario)).isZero();
    assertThat(suspicions(scenario)).isEqualTo(6);
  }

  /** Guards against one host with a bad link, or cut off from the server, that affects others. */
  @Test
  void shouldNotAvoidAServerBecauseOneHostLosesItsConnections() {
    ColdScenario scenario = ColdScenario.limited(6, 1);
    Engine host = scenario.anyClient();
    for (int second = 0; second < 20; second++) {
      lose(scenario, host);
      scenario.fixture.run(Duration.ofSeconds(1));
      assertThat(hostsThatAvoid(scenario)).isEqualTo(1);
    }
  }

  /** Guards against several hosts with bad links that take a server from their zone for good. */
  @Test
  void shouldNotAvoidAServerAgainThatDidNotRestart() {
    ColdScenario scenario = ColdScenario.limited(6, 1);
    List<Engine> hosts = clients(scenario).subList(0, 2);
    for (int repeat = 0; repeat < 6; repeat++) {
      hosts.forEach(host -> lose(scenario, host));
      scenario.fixture.run(Duration.ofMillis(6000));
    }
    hosts.forEach(host -> lose(scenario, host));
    scenario.fixture.run(NOTICE_TIME);

    assertThat(hostsThatAvoid(scenario)).isEqualTo(2);
  }

  /** Guards against hosts that learn nothing since their relay died before it could tell them. */
  @Test
  void shouldLearnFromTheNextRelayIfTheRelayIsDead() {
    ColdScenario scenario = ColdScenario.limited(6, 1);
    scenario.fixture.freeze(scenario.relays().get(0), true);
    List<Engine> hosts = clients(scenario);
    hosts.subList(0, 2).forEach(host -> lose(scenario, host));
    scenario.fixture.run(Duration.ofMillis(3500));

    assertThat(suspicions(scenario)).isEqualTo(hosts.size());
  }

  /** Guards against notices that a frozen relay, or hosts after a partition, pass on too late. */
  @Test
  void shouldDropNoticesThatArriveTooLate() {
    ColdScenario scenario = ColdScenario.limited(6, 1);
    scenario.fixture.peersAreReachable = false;
    clients(scenario).subList(0, 2).forEach(host -> lose(scenario, host));
    scenario.fixture.run(Duration.ofMillis(3600));
    scenario.fixture.peersAreReachable = true;
    scenario.fixture.run(Duration.ofSeconds(2));

    assertThat(suspicions(scenario)).isZero();
  }

  /** Guards against a second restart that is taken for the first one. */
  @Test
  void shouldAvoidAServerThatRestartsTwice() {
    ColdScenario scenario = ColdScenario.limited(6, 1);
    List<Engine> hosts = clients(scenario).subList(0, 2);
    for (int restarts = 1; restarts <= 2; restarts++) {
      hosts.forEach(host -> lose(scenario, host));
      scenario.restartUnseen(REPLICA);
      scenario.fixture.run(NOTICE_TIME);
      assertThat(hostsThatAvoid(scenario)).isEqualTo(6);
      scenario.fixture.run(Duration.ofSeconds(6));
      scenario.reportColdLeft(REPLICA, Duration.ZERO);
      scenario.fixture.run(Duration.ofSeconds(4));
      assertThat(hostsThatAvoid(scenario)).isZero();
      assertThat(suspicions(scenario)).isEqualTo(6L * restarts);
    }
  }

  /** Guards against a zone without connections to the server that learns nothing. */
  @Test
  void shouldTellOtherZonesWithTheExchangeOfTokens() {
    ColdScenario scenario = ColdScenario.limited(8, 2);
    List<Load> loads = scenario.loadOnAllHosts(RouteKind.BOUNDED_STALENESS, READ);
    scenario.run(loads, Duration.ofSeconds(2));
    // Hosts with an even number are in the first zone.
    List.of(2, 4, 6).forEach(number -> lose(scenario, scenario.fixture.hosts.get(number)));
    scenario.run(loads, NOTICE_TIME);

    assertThat(hostsThatAvoid(scenario)).isEqualTo(8);
  }

  /** Guards against a change for deployments whose settings have no bounds. */
  @Test
  void shouldTellNothingWithoutTheBounds() {
    ColdScenario scenario = ColdScenario.unlimited(6, 1);
    clients(scenario).forEach(host -> lose(scenario, host));
    scenario.fixture.run(Duration.ofSeconds(1));

    assertThat(suspicions(scenario)).isZero();
    scenario.fixture.hosts.forEach(
        host -> assertThat(scenario.fixture.entry(host, EngineEntries.OWN_LOSSES)).isEmpty());
  }
}
