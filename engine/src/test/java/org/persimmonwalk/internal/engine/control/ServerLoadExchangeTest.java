package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.RelayRole;
import org.persimmonwalk.engine.control.ServerLoad;
import org.persimmonwalk.engine.control.ServerLoads;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.internal.engine.traffic.Session;

class ServerLoadExchangeTest {
  /** More than the nine slots of the fixture's servers. */
  private static final int HOSTS = 12;

  private final EngineFixture fixture = new EngineFixture(HOSTS);

  @BeforeEach
  void startFleet() {
    fixture.run(Duration.ofSeconds(9));
  }

  private Engine relay() {
    return fixture.hosts.stream()
        .filter(
            host -> fixture.entry(host, EngineEntries.RELAY_ROLE).kind() == RelayRole.Kind.RELAY)
        .findFirst()
        .orElseThrow();
  }

  private void readAtEachHost() {
    for (Engine host : fixture.hosts) {
      Session session = fixture.open(host, RouteKind.PRIMARY, new FakeCaller());
      session.receive(RequestId.of("q"), new Statement.Data(false, "READ x"));
    }
  }

  private static int answers(ServerLoads loads) {
    return loads.loads().values().stream().mapToInt(ServerLoad::answers).sum();
  }

  /** Guards against reports that get lost on the way to the relay or back, or count twice. */
  @Test
  void shouldGiveEachHostTheSumOfTheZone() {
    readAtEachHost();
    fixture.run(Duration.ofMillis(900));

    for (Engine host : fixture.hosts) {
      ServerLoads loads = fixture.entry(host, EngineEntries.ZONE_LOADS);
      assertThat(answers(loads)).isEqualTo(HOSTS);
      assertThat(loads.loads().values()).extracting(ServerLoad::hosts).containsOnly(HOSTS);
    }
  }

  /** Guards against choices by what a relay said long ago. */
  @Test
  void shouldNotUseSumsOfARelayThatIsGone() {
    Engine relay = relay();
    readAtEachHost();
    fixture.run(Duration.ofMillis(900));
    fixture.freeze(relay, true);
    fixture.run(Duration.ofMillis(1600));

    List<Engine> others = fixture.hosts.stream().filter(host -> host != relay).toList();
    assertThat(others)
        .allMatch(
            host ->
                fixture
                    .entry(host, EngineEntries.ZONE_LOADS)
                    .usableAt(fixture.clock.now())
                    .loads()
                    .isEmpty());
  }

  /** Guards against reports of hosts whose servers are not shared, which nobody needs. */
  @Test
  void shouldReportNothingWhereTheServersAreNotShared() {
    EngineFixture small = new EngineFixture(2);
    small.run(Duration.ofSeconds(9));
    Session session = small.open(small.hosts.get(0), RouteKind.PRIMARY, new FakeCaller());
    session.receive(RequestId.of("q"), new Statement.Data(false, "READ x"));
    small.run(Duration.ofMillis(900));

    assertThat(small.entry(small.hosts.get(0), EngineEntries.OWN_LOADS))
        .isEqualTo(ServerLoads.NONE);
  }
}
