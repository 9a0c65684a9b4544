package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.SessionState;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.engine.testing.FakeServers;

class SessionVariablesTest {
  /** More than the tokens that a host holds, so that some statements wait to be admitted. */
  private static final int WAITING_SESSIONS = 60;

  private final EngineFixture fixture = new EngineFixture(1);
  private final FakeCaller caller = new FakeCaller();
  private final Session session = fixture.open(fixture.hosts.get(0), RouteKind.PRIMARY, caller);

  private void beginAndWrite() {
    fixture.send(session, "1", new Statement.Begin(false));
    fixture.send(session, "2", new Statement.Data(true, "WRITE x 1"));
  }

  private void setAndCommit() {
    fixture.send(session, "3", new Statement.SetVariable("colour", "red"));
    fixture.send(session, "4", new Statement.Commit("COMMIT"));
  }

  /** Guards against a COMMIT that runs without a variable that was acknowledged before it. */
  @Test
  void shouldSetVariablesBeforeCommit() {
    beginAndWrite();
    setAndCommit();

    assertThat(fixture.servers.sent())
        .extracting(sent -> (Object) sent.statement().action())
        .containsExactly(
            new BackendStatement.Begin(false),
            new BackendStatement.Text("WRITE x 1"),
            new BackendStatement.SetVariable("colour", "red"),
            new BackendStatement.Text("COMMIT"));
    assertThat(caller.last().succeeded()).isTrue();
  }

  /** Guards against variables that a server gets in an order that differs between processes. */
  @Test
  void shouldSetVariablesInTheOrderOfTheirNames() {
    List<String> names = List.of("d", "b", "e", "a", "f", "c");
    names.forEach(name -> fixture.send(session, name, new Statement.SetVariable(name, "1")));
    fixture.send(session, "read", new Statement.Data(false, "READ x"));

    assertThat(fixture.servers.sent())
        .extracting(sent -> sent.statement().action())
        .filteredOn(action -> action instanceof BackendStatement.SetVariable)
        .extracting(action -> ((BackendStatement.SetVariable) action).name())
        .containsExactly("a", "b", "c", "d", "e", "f");
  }

  /** Guards against a COMMIT that is sent although the server refused a variable. */
  @Test
  void shouldAbortATransactionWhoseVariablesCannotBeSetBeforeCommit() {
    beginAndWrite();
    fixture.servers.behave(
        sent ->
            sent.statement().action() instanceof BackendStatement.SetVariable
                ? Optional.of(Answer.failed(FailureCode.FAILED, "no", SessionState.IN_TRANSACTION))
                : fixture.servers.success(sent));
    setAndCommit();

    assertThat(caller.lastCode()).contains(FailureCode.ABORTED);
    assertThat(fixture.servers.sent()).noneMatch(sent -> sent.isText("COMMIT"));
    assertThat(fixture.servers.openConnections()).isZero();
  }

  /** Guards against a statement that runs without the variables of its session, which has ended. */
  @Test
  void shouldSetVariablesForAStatementThatStillWaitsWhenItsCallerLeaves() {
    Statement read = new Statement.Data(false, "READ x");
    for (int i = 0; i < WAITING_SESSIONS; i++) {
      Session waiting = fixture.open(fixture.hosts.get(0), RouteKind.PRIMARY, new FakeCaller());
      waiting.receive(RequestId.of("set" + i), new Statement.SetVariable("colour", "red" + i));
      waiting.receive(RequestId.of("read" + i), read);
      waiting.callerDisconnected();
    }
    fixture.run(Duration.ofMillis(1000));

    Map<String, String> variables = new HashMap<>();
    int reads = 0;
    for (FakeServers.Sent sent : fixture.servers.sent()) {
      BackendStatement.Action action = sent.statement().action();
      if (action instanceof BackendStatement.SetVariable set) {
        variables.put(sent.connection() + set.name(), set.value());
      } else if (action instanceof BackendStatement.Reset) {
        variables.remove(sent.connection() + "colour");
      } else if (sent.isText("READ x")) {
        String number = sent.statement().id().value().substring("read".length());
        assertThat(variables).containsEntry(sent.connection() + "colour", "red" + number);
        reads++;
      }
    }
    assertThat(reads).isPositive();
  }
}
