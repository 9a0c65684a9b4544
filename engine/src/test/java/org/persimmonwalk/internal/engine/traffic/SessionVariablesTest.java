package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.SessionState;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.FakeCaller;

class SessionVariablesTest {
  private static final Statement COMMIT = new Statement.Commit("COMMIT");
  private static final BackendStatement.Action SET_ON_SERVER =
      new BackendStatement.SetVariable("colour", "red");

  private final EngineFixture fixture = new EngineFixture(1);
  private final FakeCaller caller = new FakeCaller();

  private Session beginAndWrite() {
    Session session = fixture.open(fixture.hosts.get(0), RouteKind.PRIMARY, caller);
    fixture.send(session, "1", new Statement.Begin(false));
    fixture.send(session, "2", new Statement.Data(true, "WRITE x 1"));
    fixture.send(session, "3", new Statement.SetVariable("colour", "red"));
    return session;
  }

  /**
   * Guards against a COMMIT that runs without the variables that were set since the last statement.
   */
  @Test
  void shouldSetVariablesBeforeCommit() {
    Session session = beginAndWrite();

    fixture.send(session, "4", COMMIT);

    assertThat(fixture.servers.sent())
        .extracting(sent -> (Object) sent.statement().action())
        .endsWith(SET_ON_SERVER, new BackendStatement.Text("COMMIT"));
    assertThat(caller.last().succeeded()).isTrue();
  }

  /** Guards against a COMMIT on a connection that lacks the session's variables. */
  @Test
  void shouldNotCommitIfVariablesCannotBeSet() {
    Session session = beginAndWrite();
    fixture.servers.behave(
        sent ->
            Optional.of(
                sent.statement().action().equals(SET_ON_SERVER)
                    ? Answer.failed(FailureCode.OVERLOADED, "", SessionState.IN_TRANSACTION)
                    : Answer.done(SessionState.IDLE)));

    fixture.send(session, "4", COMMIT);

    assertThat(fixture.servers.sent()).noneMatch(sent -> sent.isText("COMMIT"));
    assertThat(caller.lastCode()).contains(FailureCode.ABORTED);
  }
}
