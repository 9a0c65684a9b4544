package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.SessionState;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.control.ServerListRead;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.id.BackendServerId;

/**
 * Guards against the end of the periodic work of the traffic thread, without which silent servers
 * are not reported and sessions don't end when the host stops.
 */
class PeriodicWorkTest {
  private static final Statement READ = new Statement.Data(false, "READ x");
  private static final BackendServerId SILENT = BackendServerId.of("s0");

  private final EngineFixture fixture = new EngineFixture(1);
  private final Engine host = fixture.hosts.get(0);
  private final FakeCaller caller = new FakeCaller();

  /**
   * Guards against a connection that times out in the periodic work and whose waiting read then
   * uses a server that was listed just before, which adds a pool.
   */
  @Test
  void shouldGoOnWhenAReadUsesANewServerAfterAConnectionTimedOut() {
    Session session = fixture.open(host, RouteKind.BOUNDED_STALENESS, caller);
    list(EngineFixture.server("s1", true), EngineFixture.server("s0", false));
    fixture.send(session, "1", READ);
    fixture.servers.ignoreConnections(SILENT);
    fixture.servers.behave(
        sent ->
            sent.server().value().equals("s1")
                ? Optional.of(Answer.failed(FailureCode.OVERLOADED, "full", SessionState.IDLE))
                : fixture.servers.success(sent));
    // The times are chosen so that the connection times out in the work at 800 ms, while the read
    // sent at 710 ms still waits for it.
    runUntilPhase(20);
    session.receive(RequestId.of("2"), READ);
    fixture.run(Duration.ofMillis(690));
    Session other = fixture.open(host, RouteKind.BOUNDED_STALENESS, caller);
    other.receive(RequestId.of("3"), READ);
    list(
        EngineFixture.server("s1", true),
        EngineFixture.server("s0", false),
        EngineFixture.server("s4", false));
    fixture.run(Duration.ofMillis(300));

    assertThat(fixture.servers.sent()).anyMatch(sent -> sent.server().value().equals("s4"));
    assertThat(fixture.events).noneMatch(event -> event.startsWith("periodic-work-failed"));
    assertPeriodicWorkGoesOn();
  }

  /** Guards against one failing task that ends all periodic work. */
  @Test
  void shouldLogAFailureAndGoOn() {
    FakeCaller failing = new FakeCaller();
    failing.failOnClose(new IllegalStateException("the channel is broken"));
    fixture.open(host, RouteKind.PRIMARY, failing);
    fixture.storeIsUp = false;
    fixture.run(Duration.ofSeconds(6));
    fixture.storeIsUp = true;
    fixture.run(Duration.ofSeconds(2));

    assertThat(fixture.events)
        .anyMatch(
            event ->
                event.startsWith("periodic-work-failed")
                    && event.contains("the channel is broken"));
    assertPeriodicWorkGoesOn();
  }

  private void list(ServerEntry... entries) {
    fixture.entries.clear();
    for (ServerEntry entry : entries) {
      fixture.entries.put(entry.id(), entry);
    }
    host.loop().post(new ServerListRead(Optional.of(List.of(entries)), StoreEra.UNKNOWN));
    fixture.run(Duration.ofMillis(10));
  }

  private void runUntilPhase(long millis) {
    while (fixture.clock.now().nanoseconds() / 1_000_000 % 100 != millis) {
      fixture.run(Duration.ofMillis(10));
    }
  }

  private void assertPeriodicWorkGoesOn() {
    FakeCaller idle = new FakeCaller();
    fixture.open(host, RouteKind.PRIMARY, idle);
    fixture.storeIsUp = false;
    fixture.run(Duration.ofSeconds(6));

    assertThat(idle.isClosed()).isTrue();
  }
}
