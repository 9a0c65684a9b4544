package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.engine.testing.FakeServers;

/** Tests a server that accepts fewer connections than there are hosts. */
class FewConnectionsTest {
  private static final int HOSTS = 95;
  private static final int ZONES = 5;

  /** The number in the fixture's configuration. */
  private static final int CONNECTIONS = 54;

  private static final int OPERATIONS = 600;
  private static final Duration BETWEEN_OPERATIONS = Duration.ofMillis(50);
  private static final Duration WORK = Duration.ofMillis(30);

  private final EngineFixture fixture =
      new EngineFixture(HOSTS, ZONES, EngineSettingsFixture.USUAL_BOUNDS);

  /**
   * Guards against idle connections of some hosts that take up all that a server accepts, so that
   * the other hosts are refused although the server is idle; and against hosts that all open a
   * connection for each operation, as none keeps one.
   */
  @Test
  void shouldServeAllHostsWhenTheyOutnumberTheConnections() {
    fixture.servers.limitConnections(CONNECTIONS);
    fixture.servers.delayAnswers(fixture.scheduler, WORK);
    fixture.run(Duration.ofSeconds(4));
    List<Session> sessions = new ArrayList<>();
    for (Engine host : fixture.hosts) {
      sessions.add(fixture.open(host, RouteKind.PRIMARY, new FakeCaller()));
    }
    SplittableRandom random = new SplittableRandom(HOSTS);
    for (int i = 0; i < OPERATIONS; i++) {
      sessions
          .get(random.nextInt(HOSTS))
          .receive(RequestId.of("q" + i), new Statement.Data(false, "READ x"));
      fixture.run(BETWEEN_OPERATIONS);
    }

    assertThat(fixture.servers.sent()).hasSize(OPERATIONS);
    long opened =
        fixture.servers.sent().stream().map(FakeServers.Sent::connection).distinct().count();
    assertThat(opened).as("connections used by " + OPERATIONS).isLessThan(OPERATIONS * 85 / 100);
  }
}
