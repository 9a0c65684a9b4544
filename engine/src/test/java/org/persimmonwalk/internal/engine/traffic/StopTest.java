package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.DatabaseName;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.SessionState;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.control.HostStopping;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.id.KeyHash;

class StopTest {
  /** From an answer to the caller's next statement. */
  private static final Duration TRANSIT = Duration.ofMillis(1);

  /** With the transit, a tick of 100 ms always finds a statement running. */
  private static final Duration ANSWER_DELAY = Duration.ofMillis(24);

  private final EngineFixture fixture = new EngineFixture(1);
  private final Engine host = fixture.hosts.get(0);
  private final FakeCaller caller = new FakeCaller();
  private int received;
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

  /**
   * Guards against requests that are cut off when the process exits: a caller that sends its next
   * statement as soon as it has an answer is never idle at a tick.
   */
  @Test
  void shouldEndASessionThatAlwaysHasAStatementRunning() {
    sendWithoutPause(new Statement.Data(true, "WRITE x 1"));
    host.loop().post(new HostStopping());
    fixture.run(Duration.ofMillis(2600));

    assertThat(caller.isClosed()).isTrue();
    assertThat(statementsWithoutAnswer()).isZero();
  }

  /** Guards against a transaction that outlives the stop since a statement of it always runs. */
  @Test
  void shouldAbortATransactionThatAlwaysHasAStatementRunning() {
    fixture.send(session, "1", new Statement.Begin(false));
    sendWithoutPause(new Statement.Data(false, "READ x"));
    host.loop().post(new HostStopping());
    fixture.run(Duration.ofMillis(3300));
    int sent = fixture.servers.sent().size();
    fixture.run(Duration.ofMillis(300));

    assertThat(fixture.servers.sent()).hasSize(sent);
    assertThat(caller.last().state()).isEqualTo(SessionState.FAILED_TRANSACTION);
  }

  /** Guards against statements that were received but get no answer when the session is ended. */
  @Test
  void shouldRefuseStatementsThatWaitWhenTheSessionEnds() {
    fixture.servers.delayAnswers(fixture.scheduler, Duration.ofMillis(150));
    host.loop().post(new HostStopping());
    fixture.run(Duration.ofMillis(2250));
    session.receive(RequestId.of("1"), new Statement.Data(true, "WRITE x 1"));
    session.receive(RequestId.of("2"), new Statement.Data(true, "WRITE x 2"));
    fixture.run(Duration.ofMillis(300));

    assertThat(caller.answered()).isEqualTo(2);
    assertThat(caller.lastCode()).contains(FailureCode.OVERLOADED);
    assertThat(fixture.servers.sent()).noneMatch(sent -> sent.isText("WRITE x 2"));
    assertThat(caller.isClosed()).isTrue();
  }

  /** Guards against sessions whose first statements would be cut off by the end of the process. */
  @Test
  void shouldRefuseNewSessionsInTheSecondHalfOfTheGracePeriod() {
    fixture.send(session, "1", new Statement.Begin(false));
    host.loop().post(new HostStopping());
    fixture.run(Duration.ofMillis(3200));
    FakeCaller late = new FakeCaller();
    host.sessions()
        .open(
            late,
            DatabaseName.of(RouteKind.PRIMARY.name()),
            Optional.of(KeyHash.ofKey(EngineFixture.KEY)));

    assertThat(late.refusal()).contains(FailureCode.OVERLOADED);
  }

  /** Guards against a busy caller that is refused again and again by a host without the store. */
  @Test
  void shouldEndABusySessionWhenTheConfigurationCannotBeVerified() {
    sendWithoutPause(new Statement.Data(false, "READ x"));
    fixture.storeIsUp = false;
    fixture.run(Duration.ofMillis(4200));

    assertThat(caller.isClosed()).isTrue();
    assertThat(statementsWithoutAnswer()).isZero();
  }

  /** Lets the caller send the statement, and again as soon as it has the answer. */
  private void sendWithoutPause(Statement statement) {
    fixture.servers.delayAnswers(fixture.scheduler, ANSWER_DELAY);
    caller.onAnswer(() -> send(statement));
    send(statement);
  }

  private void send(Statement statement) {
    received++;
    fixture.scheduler.schedule(
        TRANSIT, () -> session.receive(RequestId.of("q" + received), statement));
  }

  /** Counts the statements that a server ran and whose answer the caller didn't get. */
  private long statementsWithoutAnswer() {
    long run =
        fixture.servers.sent().stream()
            .filter(sent -> sent.statement().action() instanceof BackendStatement.Text)
            .count();
    return run - caller.succeeded();
  }
}
