package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.control.HostStopping;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.FakeCaller;

class StopTest {
  private final EngineFixture fixture = new EngineFixture(1);
  private final Engine host = fixture.hosts.get(0);
  private final FakeCaller caller = new FakeCaller();
  private final Session session = fixture.open(host, RouteKind.PRIMARY, caller);

  /** Guards against refusing callers that the platform still sends after the stop request. */
  @Test
  void shouldServeUntilThePlatformSendsCallersElsewhere() {
    host.loop().post(new HostStopping());
    fixture.run(Duration.ofMillis(1000));
    fixture.send(session, "1", new Statement.Data(false, "READ x"));

    assertThat(caller.last().succeeded()).isTrue();
    assertThat(host.sessions().isReady()).isFalse();
  }

  @Test
  void shouldCloseIdleSessionsAfterTheDrainDelay() {
    host.loop().post(new HostStopping());
    fixture.run(Duration.ofMillis(2800));

    assertThat(caller.isClosed()).isTrue();
  }

  /** Guards against aborting an open transaction before half of the grace period has passed. */
  @Test
  void shouldLetAnOpenTransactionCommit() {
    fixture.send(session, "1", new Statement.Begin(false));
    fixture.send(session, "2", new Statement.Data(true, "WRITE x 1"));
    host.loop().post(new HostStopping());
    fixture.run(Duration.ofMillis(2700));
    fixture.send(session, "3", new Statement.Commit("COMMIT"));

    assertThat(caller.last().succeeded()).isTrue();
  }

  /**
   * A transaction left idle for longer is rolled back, and its COMMIT reports that it was aborted.
   */
  @Test
  void shouldRollBackATransactionLeftIdle() {
    fixture.send(session, "1", new Statement.Begin(false));
    fixture.send(session, "2", new Statement.Data(true, "WRITE x 1"));
    host.loop().post(new HostStopping());
    fixture.run(Duration.ofMillis(3300));
    fixture.send(session, "3", new Statement.Commit("COMMIT"));

    assertThat(caller.lastCode()).contains(FailureCode.ABORTED);
  }
}
