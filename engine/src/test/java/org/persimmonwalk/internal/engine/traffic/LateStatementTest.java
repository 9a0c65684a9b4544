package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.TimedOperations;

/** Tests operations that have waited while their route's statements take most of the deadline. */
class LateStatementTest {
  private static final Duration LATENCY = Duration.ofMillis(600);
  private static final Statement READ = new Statement.Data(false, "READ x");
  private static final Statement WRITE = new Statement.Data(true, "WRITE x 1");

  /** As many as this host may have connections to the primary. */
  private static final int SESSIONS = 6;

  private final EngineFixture fixture = new EngineFixture(1);
  private final Engine host = fixture.hosts.get(0);

  @BeforeEach
  void learnTheLatency() {
    fixture.servers.delayAnswers(fixture.scheduler, LATENCY);
    TimedOperations learning = run(READ);
    assertThat(learning.ended("done")).as(learning.summary()).isEqualTo(SESSIONS);
  }

  /** Sends the statements in several sessions and waits until all have ended. */
  private TimedOperations run(Statement... statements) {
    TimedOperations operations = new TimedOperations(fixture);
    for (int i = 0; i < SESSIONS; i++) {
      operations.send(host, RouteKind.PRIMARY, statements);
    }
    fixture.run(Duration.ofSeconds(1));
    assertThat(operations.unanswered()).as(operations.summary()).isZero();
    assertThat(operations.late()).as(operations.summary()).isZero();
    return operations;
  }

  /** Guards against writes with an unknown outcome that had no chance to be answered in time. */
  @Test
  void shouldNotSendWhatUsuallyTakesLongerThanIsLeft() {
    TimedOperations operations = run(WRITE, WRITE);

    assertThat(operations.ended("done")).as(operations.summary()).isEqualTo(SESSIONS);
    assertThat(operations.ended("too little time is left"))
        .as(operations.summary())
        .isEqualTo(SESSIONS);
    assertThat(fixture.servers.sent().stream().filter(sent -> sent.isWrite())).hasSize(SESSIONS);
  }

  /** Guards against refusing operations that have not waited. */
  @Test
  void shouldSendWhatHasNotWaited() {
    assertThat(run(WRITE).ended("done")).isEqualTo(SESSIONS);
  }

  /** Guards against refusals after the servers have become quick again. */
  @Test
  void shouldSendLateStatementsAgainOnceServersAreQuick() {
    fixture.servers.delayAnswers(fixture.scheduler, Duration.ofMillis(20));
    run(READ);

    assertThat(run(WRITE, WRITE, WRITE).ended("done")).isEqualTo(3 * SESSIONS);
  }
}
