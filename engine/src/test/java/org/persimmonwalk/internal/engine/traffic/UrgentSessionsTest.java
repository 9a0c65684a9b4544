package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.DatabaseName;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.id.KeyHash;

/** Tests sessions of urgent and of bulk routes while the servers' queues are long. */
class UrgentSessionsTest {
  /** More than the nine slots of the fixture's servers. */
  private static final int HOSTS = 12;

  private static final Duration IDLE_LATENCY = Duration.ofMillis(10);
  private static final Duration LONG_LATENCY = Duration.ofMillis(300);
  private static final Statement READ = new Statement.Data(false, "READ x");
  private static final Statement WRITE = new Statement.Data(true, "WRITE x");

  private final EngineFixture fixture = new EngineFixture(HOSTS);
  private final FakeCaller bulkCaller = new FakeCaller();
  private final FakeCaller urgentCaller = new FakeCaller();
  private Engine host;
  private Session bulk;
  private Session urgent;
  private int requests;

  private static RoutingConfiguration withPriorities() {
    RoutingConfiguration usual =
        EngineFixture.configuration(
            2, 1_000_000, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE));
    Map<DatabaseName, Route> routes = new HashMap<>();
    usual
        .routes()
        .forEach(
            (name, route) ->
                routes.put(
                    name,
                    new Route(
                        name,
                        route.group(),
                        route.kind(),
                        Duration.ofMillis(1500),
                        route.latencyTarget(),
                        route.kind() == RouteKind.PRIMARY ? 0 : 1,
                        route.maximumStaleness(),
                        false)));
    return new RoutingConfiguration(
        usual.version(),
        routes,
        usual.groups(),
        usual.keys(),
        usual.limits(),
        usual.transactionIdleTimeout());
  }

  @BeforeEach
  void learnTheIdleLatency() {
    fixture.publish(withPriorities());
    fixture.run(Duration.ofSeconds(9));
    host = fixture.hosts.get(0);
    bulk = fixture.open(host, RouteKind.READ_OWN_WRITES, bulkCaller);
    urgent = fixture.open(host, RouteKind.PRIMARY, urgentCaller);
    fixture.servers.delayAnswers(fixture.scheduler, IDLE_LATENCY);
    for (int i = 0; i < 20; i++) {
      send(bulk, READ);
      send(bulk, WRITE);
      send(urgent, READ);
      fixture.run(Duration.ofMillis(60));
    }
    assertThat(logged("bulk-limited")).isZero();
  }

  private void send(Session session, Statement statement) {
    session.receive(RequestId.of("u" + requests++), statement);
  }

  private long logged(String event) {
    return fixture.events.stream().filter(line -> line.startsWith(event)).count();
  }

  /** Makes all servers answer late until the host limits bulk work at the primary. */
  private void lengthenQueues() {
    fixture.servers.delayAnswers(fixture.scheduler, LONG_LATENCY);
    for (int i = 0; i < 6; i++) {
      send(urgent, READ);
      fixture.run(LONG_LATENCY);
    }
    send(bulk, WRITE);
    fixture.run(Duration.ofMillis(400));
    send(bulk, WRITE);
    fixture.run(Duration.ofMillis(10));
    assertThat(logged("bulk-limited")).isPositive();
    fixture.run(Duration.ofSeconds(1));
  }

  /** Guards against bulk work that is refused as anything but not run, or is run in addition. */
  @Test
  void shouldNotRunWhatItRefuses() {
    lengthenQueues();
    FakeCaller[] callers = new FakeCaller[20];
    fixture.servers.sent().clear();
    for (int i = 0; i < callers.length; i++) {
      callers[i] = new FakeCaller();
      send(fixture.open(host, RouteKind.READ_OWN_WRITES, callers[i]), WRITE);
      send(urgent, READ);
    }
    fixture.run(Duration.ofSeconds(4));

    int refused = 0;
    for (FakeCaller caller : callers) {
      assertThat(caller.answered()).isEqualTo(1);
      refused += caller.succeeded() == 0 ? 1 : 0;
      assertThat(caller.succeeded() == 1 || caller.lastCode().equals(overloaded())).isTrue();
    }
    long ran = fixture.servers.sent().stream().filter(sent -> sent.isWrite()).count();
    assertThat(refused).isPositive();
    assertThat(ran).isEqualTo(callers.length - refused);
  }

  private static Optional<FailureCode> overloaded() {
    return Optional.of(FailureCode.OVERLOADED);
  }

  /** Guards against an open transaction whose statements are held or refused. */
  @Test
  void shouldNotHoldStatementsOfAnOpenTransaction() {
    send(bulk, new Statement.Begin(false));
    fixture.run(Duration.ofMillis(100));
    FakeCaller other = new FakeCaller();
    Session working = fixture.open(host, RouteKind.READ_OWN_WRITES, other);
    fixture.servers.delayAnswers(fixture.scheduler, LONG_LATENCY);
    for (int i = 0; i < 6; i++) {
      send(urgent, READ);
      fixture.run(LONG_LATENCY);
    }
    send(working, WRITE);
    send(working, WRITE);
    fixture.servers.sent().clear();

    long before = bulkCaller.succeeded();
    send(bulk, WRITE);
    fixture.run(Duration.ofMillis(700));

    assertThat(logged("bulk-limited")).isPositive();
    assertThat(bulkCaller.succeeded() - before).isEqualTo(1);
  }

  /** Guards against urgent statements that are held. */
  @Test
  void shouldSendUrgentStatementsAtOnce() {
    lengthenQueues();
    fixture.servers.sent().clear();

    send(urgent, READ);
    fixture.run(Duration.ofMillis(20));

    assertThat(fixture.servers.sent()).anyMatch(sent -> sent.isText("READ x"));
  }

  /** Guards against bulk work that starves at servers that stay slow. */
  @Test
  void shouldKeepServingSomeBulkWorkWhileServersStaySlow() {
    lengthenQueues();
    long before = bulkCaller.succeeded();
    for (int i = 0; i < 40; i++) {
      send(bulk, READ);
      send(urgent, READ);
      fixture.run(LONG_LATENCY);
    }

    assertThat(bulkCaller.succeeded() - before).isGreaterThan(5);
  }

  /** Guards against a transaction that begins after a suspension in which its deadline passed. */
  @Test
  void shouldRefuseAHeldBeginWhoseDeadlineHasPassed() {
    lengthenQueues();
    FakeCaller held = new FakeCaller();
    Session session = fixture.open(host, RouteKind.READ_OWN_WRITES, held);
    send(bulk, WRITE);
    send(session, new Statement.Begin(false));
    fixture.run(Duration.ofMillis(20));
    assertThat(held.answered()).isZero();

    fixture.stepWallClock(Duration.ofSeconds(2));
    fixture.run(Duration.ofMillis(110));

    assertThat(held.answered()).isEqualTo(1);
    assertThat(held.lastCode()).isEqualTo(overloaded());
  }
}
