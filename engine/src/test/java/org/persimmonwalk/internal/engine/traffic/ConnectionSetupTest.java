package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.ByteBudget;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.PreparedName;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.SessionState;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.StatementTemplate;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.id.BackendServerId;

class ConnectionSetupTest {
  private static final StatementTemplate READ = new StatementTemplate(false, "q1");

  private final EngineFixture fixture = new EngineFixture(1);
  private final FakeCaller caller = new FakeCaller();
  private boolean forgot;

  private Session open(RouteKind kind) {
    return fixture.open(fixture.hosts.get(0), kind, caller);
  }

  private void forgetPreparedNamesOnce(SessionState state) {
    fixture.servers.behave(
        sent -> {
          if (!forgot && sent.statement().action() instanceof BackendStatement.Execute) {
            forgot = true;
            return Optional.of(Answer.failed(FailureCode.UNKNOWN_NAME, "no such name", state));
          }
          return fixture.servers.success(sent);
        });
  }

  private static void prepareAndExecute(EngineFixture fixture, Session session) {
    fixture.send(session, "1", new Statement.SetVariable("colour", "red"));
    fixture.send(session, "2", new Statement.Prepare("mine", READ));
    fixture.send(session, "3", new Statement.Execute("mine", Optional.of("x")));
  }

  /** Guards against session values that a connection has lost together with its prepared names. */
  @Test
  void shouldUseAnotherConnectionWhenAServerReportsANameAsUnknown() {
    Session session = open(RouteKind.PRIMARY);
    prepareAndExecute(fixture, session);
    int before = fixture.servers.sent().size();
    forgetPreparedNamesOnce(SessionState.IDLE);
    fixture.send(session, "4", new Statement.Execute("mine", Optional.of("y")));

    assertThat(fixture.servers.sent().subList(before + 1, fixture.servers.sent().size()))
        .extracting(sent -> (Object) sent.statement().action())
        .containsExactly(
            new BackendStatement.SetVariable("colour", "red"),
            new BackendStatement.Prepare(PreparedName.of(1), READ),
            new BackendStatement.Execute(PreparedName.of(1), Optional.of("y")));
  }

  /** Guards against telling a caller that a name is unknown whose preparing was acknowledged. */
  @Test
  void shouldAbortATransactionWhoseServerReportsANameAsUnknown() {
    Session session = open(RouteKind.PRIMARY);
    prepareAndExecute(fixture, session);
    fixture.send(session, "4", new Statement.Begin(false));
    forgetPreparedNamesOnce(SessionState.FAILED_TRANSACTION);
    fixture.send(session, "5", new Statement.Execute("mine", Optional.of("y")));

    assertThat(caller.lastCode()).contains(FailureCode.ABORTED);
    assertThat(fixture.servers.openConnections()).isZero();
  }

  /** Guards against a text that is prepared once for a read and a write. */
  @Test
  void shouldPrepareATextOnceForEachKind() {
    Session session = open(RouteKind.PRIMARY);
    fixture.send(session, "1", new Statement.Prepare("mine", READ));
    fixture.send(session, "2", new Statement.Execute("mine", Optional.of("x")));
    fixture.send(session, "3", new Statement.Deallocate("mine"));
    fixture.send(session, "4", new Statement.Prepare("mine", new StatementTemplate(true, "q1")));
    fixture.send(session, "5", new Statement.Execute("mine", Optional.of("x")));

    assertThat(fixture.servers.sent())
        .extracting(sent -> (Object) sent.statement().action())
        .endsWith(
            new BackendStatement.Prepare(PreparedName.of(2), new StatementTemplate(true, "q1")),
            new BackendStatement.Execute(PreparedName.of(2), Optional.of("x")));
  }

  /** Guards against two connections of one server under one id in the log. */
  @Test
  void shouldNumberConnectionsDifferentlyAfterAServerWasListedAgain() {
    Session session = open(RouteKind.PRIMARY);
    fixture.send(session, "1", new Statement.Prepare("mine", READ));
    fixture.send(session, "2", new Statement.Execute("mine", Optional.of("x")));
    BackendServerId id = BackendServerId.of("s1");
    ServerEntry old = fixture.entries.get(id);
    fixture.entries.put(
        id,
        new ServerEntry(
            id,
            old.group(),
            old.endpoint(),
            old.zone(),
            old.slots(),
            old.draining(),
            true,
            old.startedAtMillis() + 1));
    for (int i = 0; i < 40; i++) {
      fixture.run(Duration.ofSeconds(1));
      fixture.send(session, "r" + i, new Statement.Execute("mine", Optional.of("x")));
    }
    List<String> prepared =
        fixture.events.stream().filter(event -> event.startsWith("statement-prepared")).toList();
    assertThat(prepared).doesNotHaveDuplicates();
  }

  /**
   * Guards against connections that keep the texts of ended sessions uncounted until the heap is
   * spent, and against taking the end of such a connection for a failure of its server.
   */
  @Test
  void shouldCountWhatAConnectionKeepsAndReplaceAConnectionClosedForIt() {
    ByteBudget budget = ByteBudget.of(4_000_000);
    fixture.servers.countIn(budget);
    Session session = open(RouteKind.PRIMARY);
    fixture.send(session, "1", new Statement.SetVariable("v", "x".repeat(900_000)));
    prepareAndExecute(fixture, session);
    fixture.send(session, "5", new Statement.SetVariable("v", "y"));
    assertThat(budget.used()).isBetween(900_000L, 901_000L);

    ByteBudget.Account running = budget.open(bytes -> {});
    running.add(2_000_000);
    running.pin(2_000_000);
    running.add(500_000);
    fixture.servers.notifyShed();
    assertThat(budget.used()).isEqualTo(2_500_000);
    fixture.send(session, "6", new Statement.Execute("mine", Optional.of("y")));

    assertThat(caller.last().succeeded()).isTrue();
    assertThat(fixture.servers.sent())
        .extracting(sent -> (Object) sent.statement().action())
        .contains(new BackendStatement.SetVariable("v", "y"));
    assertThat(budget.used()).isBetween(2_500_200L, 2_501_000L);
    assertThat(fixture.events)
        .anyMatch(event -> event.startsWith("connection-shed"))
        .noneMatch(event -> event.startsWith("connection-lost"));
  }
}
