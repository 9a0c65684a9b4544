package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.engine.testing.TimedOperations;
import org.persimmonwalk.id.KeyHash;

/** Guards against operations that end later than their deadline as each wait has its own. */
class SharedDeadlineTest {
  /** More hosts than tokens, so that each operation waits for a reply of its lender. */
  private static final int HOSTS = 24;

  private static final int ZONES = 3;
  private static final double RATE = 4;
  private static final Duration REPLY_DELAY = Duration.ofMillis(250);
  private static final Duration BEGIN_LATENCY = Duration.ofMillis(400);

  /** The traffic thread compares the clocks this often. */
  private static final Duration NOTICED_AFTER = Duration.ofMillis(100);

  private static final Statement READ = new Statement.Data(false, "READ x");
  private static final Statement WRITE = new Statement.Data(true, "WRITE x 1");

  private final EngineFixture fixture =
      new EngineFixture(HOSTS, ZONES, EngineSettingsFixture.USUAL_BOUNDS);
  private final TimedOperations operations = new TimedOperations(fixture);

  @BeforeEach
  void delayTokens() {
    fixture.publish(
        EngineFixture.configuration(
            2, RATE, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE)));
    fixture.run(Duration.ofSeconds(5));
    for (int number = 0; number < HOSTS; number++) {
      fixture.exchanges.delayReplies(
          EngineSettingsFixture.of(number, ZONES, EngineSettingsFixture.USUAL_BOUNDS)
              .peerEndpoint(),
          REPLY_DELAY);
    }
  }

  private void sendToAll(Statement... statements) {
    fixture.hosts.forEach(host -> operations.send(host, RouteKind.PRIMARY, statements));
  }

  /** Guards against a statement that has its whole time-out after the wait for a token. */
  @Test
  void shouldEndStatementsAtTheirDeadlineAfterAWaitForATokenToo() {
    fixture.servers.behave(sent -> Optional.empty());

    sendToAll(WRITE);
    fixture.run(Duration.ofSeconds(3));

    assertThat(operations.unanswered()).isZero();
    assertThat(operations.ended("OUTCOME_UNKNOWN")).as(operations.summary()).isPositive();
    assertThat(operations.late()).as(operations.summary()).isZero();
  }

  /** Guards against statements that wait in their session and are run after their deadline. */
  @Test
  void shouldRefuseWhatHasWaitedInItsSessionUntilItsDeadline() {
    fixture.servers.behave(sent -> Optional.empty());

    sendToAll(READ, READ, READ);
    fixture.run(Duration.ofSeconds(5));

    assertThat(operations.unanswered()).isZero();
    assertThat(operations.ended("too little time is left")).isPositive();
    assertThat(operations.late()).as(operations.summary()).isZero();
  }

  /** Guards against a first statement that has one deadline to begin and another one to run. */
  @Test
  void shouldBeginATransactionAndRunItsFirstStatementByOneDeadline() {
    fixture.servers.behave(
        sent ->
            sent.statement().action() instanceof BackendStatement.Begin
                ? fixture.servers.success(sent)
                : Optional.empty());
    fixture.servers.delayAnswers(fixture.scheduler, BEGIN_LATENCY);

    sendToAll(new Statement.Begin(false), WRITE);
    fixture.run(Duration.ofSeconds(3));

    assertThat(operations.unanswered()).isZero();
    assertThat(operations.ended("ABORTED")).as(operations.summary()).isPositive();
    assertThat(operations.late()).as(operations.summary()).isZero();
  }

  /** Guards against timers that stand still while the host is suspended. */
  @Test
  void shouldCountASuspensionAsPassedTime() {
    fixture.servers.behave(sent -> Optional.empty());
    sendToAll(READ);
    fixture.run(Duration.ofMillis(100));

    operations.suspend(Duration.ofMillis(400));
    fixture.run(Duration.ofSeconds(2));

    assertThat(operations.unanswered()).isZero();
    assertThat(operations.late()).as(operations.summary()).isZero();
  }

  /** Guards against statements that are sent when the host resumes after their deadline. */
  @Test
  void shouldNotSendWhatItsDeadlineHasPassedDuringASuspension() {
    sendToAll(READ);
    fixture.run(Duration.ofMillis(100));
    int before = fixture.servers.sent().size();

    operations.suspend(Duration.ofSeconds(5));
    fixture.run(Duration.ofSeconds(2));

    assertThat(operations.unanswered()).isZero();
    assertThat(fixture.servers.sent()).as(operations.summary()).hasSize(before);
    assertThat(operations.laterThan(NOTICED_AFTER.plusMillis(5100)))
        .as(operations.summary())
        .isZero();
  }
}
