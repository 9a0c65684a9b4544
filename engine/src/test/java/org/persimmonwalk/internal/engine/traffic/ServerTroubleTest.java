package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
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

/** Guards against troubles of servers, connections and callers that spread to other callers. */
class ServerTroubleTest {
  private static final Statement READ = new Statement.Data(false, "READ x");
  private static final Statement WRITE = new Statement.Data(true, "WRITE x 1");
  private static final int READS = 40;

  /** Longer than the time after which the configuration lets an idle transaction be ended. */
  private static final Duration IDLE_TIME = Duration.ofMillis(3500);

  private final EngineFixture fixture = new EngineFixture(1);
  private final FakeCaller caller = new FakeCaller();

  private Session open(RouteKind kind, FakeCaller sessionCaller) {
    return fixture.open(fixture.hosts.get(0), kind, sessionCaller);
  }

  /** Guards against failed reads while one server fails all its work and looks healthy. */
  @Test
  void shouldServeReadsWhileOneServerFailsThem() {
    Session session = open(RouteKind.BOUNDED_STALENESS, caller);
    fixture.servers.behave(
        sent ->
            sent.server().value().equals("s2")
                ? Optional.of(Answer.failed(FailureCode.FAILED, "failed", SessionState.IDLE))
                : fixture.servers.success(sent));

    for (int i = 0; i < READS; i++) {
      fixture.send(session, "r" + i, READ);

      assertThat(caller.last().succeeded()).as("read %d", i).isTrue();
    }
  }

  /** Guards against failed reads while a server goes down and comes back by turns. */
  @Test
  void shouldServeReadsWhileAServerGoesDownAndUp() {
    Session session = open(RouteKind.BOUNDED_STALENESS, caller);
    int[] asked = {0};
    fixture.servers.behave(
        sent ->
            sent.server().value().equals("s2") && asked[0]++ / 5 % 2 == 0
                ? Optional.of(Answer.failed(FailureCode.OVERLOADED, "busy", SessionState.IDLE))
                : fixture.servers.success(sent));

    for (int i = 0; i < READS; i++) {
      fixture.send(session, "r" + i, READ);

      assertThat(caller.last().succeeded()).as("read %d", i).isTrue();
    }
  }

  /** Guards against sessions that end, or lose variables, with the connections they have used. */
  @Test
  void shouldContinueSessionsAfterTheirConnectionsWereReset() {
    Session session = open(RouteKind.READ_OWN_WRITES, caller);
    fixture.send(session, "1", new Statement.SetVariable("role", "clerk"));
    fixture.send(session, "2", WRITE);
    fixture.servers.cutAll();
    int before = fixture.servers.sent().size();

    fixture.send(session, "3", READ);

    assertThat(caller.last().succeeded()).isTrue();
    assertThat(fixture.servers.sent().subList(before, fixture.servers.sent().size()))
        .anyMatch(sent -> sent.statement().action() instanceof BackendStatement.SetVariable);
  }

  /** Guards against a caller that holds a connection and its locks by resting in a transaction. */
  @Test
  void shouldAbortATransactionThatIsIdleForTooLong() {
    Session session = open(RouteKind.PRIMARY, caller);
    fixture.send(session, "1", new Statement.Begin(false));
    fixture.send(session, "2", WRITE);
    fixture.run(IDLE_TIME);

    fixture.send(session, "3", new Statement.Commit("COMMIT"));

    assertThat(caller.lastCode()).contains(FailureCode.ABORTED);
    assertThat(fixture.servers.sent()).noneMatch(sent -> sent.isText("COMMIT"));
  }
}
