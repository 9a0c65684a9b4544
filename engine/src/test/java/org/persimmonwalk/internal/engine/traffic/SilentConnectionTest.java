package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.SessionState;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.engine.testing.FakeServers;

/**
 * Guards against connections that go silent without a reset in a transaction: they kept their place
 * in the limit of the pool, or their caller without an answer.
 */
class SilentConnectionTest {
  private static final Statement WRITE = new Statement.Data(true, "WRITE x 1");

  /** Longer than the timeout of the fixture's routes. */
  private static final Duration TIMEOUT = Duration.ofMillis(900);

  private final EngineFixture fixture = new EngineFixture(1);
  private final FakeCaller caller = new FakeCaller();
  private final Session session = fixture.open(fixture.hosts.get(0), RouteKind.PRIMARY, caller);

  private void beginAndWrite() {
    fixture.send(session, "1", new Statement.Begin(false));
    fixture.send(session, "2", WRITE);
    assertThat(fixture.servers.openConnections()).isEqualTo(1);
  }

  private void leaveUnanswered(Predicate<BackendStatement.Action> ignored) {
    fixture.servers.behave(
        sent ->
            ignored.test(sent.statement().action())
                ? Optional.empty()
                : fixture.servers.success(sent));
  }

  @Test
  void shouldCloseAConnectionThatLeavesARollbackUnanswered() {
    beginAndWrite();
    leaveUnanswered(BackendStatement.Rollback.class::isInstance);
    fixture.send(session, "3", new Statement.Rollback());
    assertThat(caller.last().succeeded()).isTrue();

    fixture.run(TIMEOUT);

    assertThat(fixture.servers.openConnections()).isZero();
  }

  @Test
  void shouldAbortATransactionWhoseSessionVariablesAreNotSetInTime() {
    beginAndWrite();
    leaveUnanswered(BackendStatement.SetVariable.class::isInstance);
    fixture.send(session, "3", new Statement.SetVariable("region", "north"));
    int answered = caller.answered();
    fixture.send(session, "4", WRITE);
    assertThat(caller.answered()).isEqualTo(answered);

    fixture.run(TIMEOUT);

    assertThat(caller.answered()).isEqualTo(answered + 1);
    assertThat(caller.lastCode()).contains(FailureCode.ABORTED);
    assertThat(caller.last().state()).isEqualTo(SessionState.FAILED_TRANSACTION);
    assertThat(fixture.servers.openConnections()).isZero();
    assertThat(fixture.servers.sent()).filteredOn(FakeServers.Sent::isWrite).hasSize(1);
  }

  /** Guards against a late timer that fails a transaction whose statement was answered. */
  @Test
  void shouldKeepATransactionWhoseSessionVariablesAreSetInTime() {
    beginAndWrite();
    fixture.send(session, "3", new Statement.SetVariable("region", "north"));
    fixture.send(session, "4", WRITE);
    int answered = caller.answered();

    fixture.run(TIMEOUT);

    assertThat(caller.answered()).isEqualTo(answered);
    assertThat(caller.last().succeeded()).isTrue();
    assertThat(fixture.servers.openConnections()).isEqualTo(1);
  }
}
