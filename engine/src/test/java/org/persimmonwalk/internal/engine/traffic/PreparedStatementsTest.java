package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.PreparedName;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.SessionState;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.StatementTemplate;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.FakeCaller;

class PreparedStatementsTest {
  private final EngineFixture fixture = new EngineFixture(1);

  private Session open(RouteKind kind) {
    return fixture.open(fixture.hosts.get(0), kind, new FakeCaller());
  }

  @Test
  void shouldPrepareATemplateOnceForAllSessionsOfAConnection() {
    Session first = open(RouteKind.PRIMARY);
    Session second = open(RouteKind.PRIMARY);
    StatementTemplate template = new StatementTemplate(false, "q1");
    fixture.send(first, "1", new Statement.Prepare("mine", template));
    fixture.send(first, "2", new Statement.Execute("mine", Optional.of("x")));
    fixture.send(second, "3", new Statement.Prepare("other", template));
    fixture.send(second, "4", new Statement.Execute("other", Optional.of("y")));

    assertThat(fixture.servers.sent())
        .extracting(sent -> (Object) sent.statement().action())
        .containsExactly(
            new BackendStatement.Prepare(PreparedName.of(1), template),
            new BackendStatement.Execute(PreparedName.of(1), Optional.of("x")),
            new BackendStatement.Execute(PreparedName.of(1), Optional.of("y")));
  }

  /** Guards against connections that keep the statements of all sessions that ever used them. */
  @Test
  void shouldDeallocateTheStatementThatWasNotUsedForTheLongestTime() {
    FakeCaller caller = new FakeCaller();
    Session session = fixture.open(fixture.hosts.get(0), RouteKind.PRIMARY, caller);
    for (int i = 0; i <= PreparedStatements.MAXIMUM_COUNT; i++) {
      fixture.send(
          session, "p", new Statement.Prepare("s" + i, new StatementTemplate(false, "q" + i)));
      fixture.run(Duration.ofMillis(100));
      fixture.send(session, "e", new Statement.Execute("s" + i, Optional.of("x")));
      assertThat(caller.last().succeeded()).isTrue();
      if (i == 1) {
        fixture.send(session, "e", new Statement.Execute("s0", Optional.of("x")));
      }
    }

    fixture.send(session, "last", new Statement.Execute("s1", Optional.of("x")));

    int added = PreparedStatements.MAXIMUM_COUNT + 1;
    assertThat(caller.last().succeeded()).isTrue();
    assertThat(fixture.servers.sent())
        .extracting(sent -> (Object) sent.statement().action())
        .containsSubsequence(
            new BackendStatement.Deallocate(PreparedName.of(2)),
            new BackendStatement.Prepare(
                PreparedName.of(added), new StatementTemplate(false, "q" + (added - 1))),
            new BackendStatement.Deallocate(PreparedName.of(1)),
            new BackendStatement.Prepare(
                PreparedName.of(added + 1), new StatementTemplate(false, "q1")),
            new BackendStatement.Execute(PreparedName.of(added + 1), Optional.of("x")));
  }

  /** Guards against an EXECUTE that the name on the connection makes too long for a message. */
  @Test
  void shouldRefuseAnExecutionThatAMessageCannotCarry() {
    FakeCaller caller = new FakeCaller();
    Session session = fixture.open(fixture.hosts.get(0), RouteKind.PRIMARY, caller);
    fixture.send(session, "1", new Statement.Prepare("s", new StatementTemplate(true, "q1")));
    fixture.servers.carryOnly(
        statement -> !(statement.action() instanceof BackendStatement.Execute));

    fixture.send(session, "2", new Statement.Execute("s", Optional.of("x")));

    assertThat(caller.last().failedWith(FailureCode.MALFORMED)).isTrue();
    fixture.send(session, "3", new Statement.Begin(false));
    fixture.send(session, "4", new Statement.Execute("s", Optional.of("x")));
    assertThat(caller.last().failedWith(FailureCode.MALFORMED)).isTrue();
    assertThat(caller.last().state()).isEqualTo(SessionState.IN_TRANSACTION);
    assertThat(fixture.servers.sent())
        .noneMatch(sent -> sent.statement().action() instanceof BackendStatement.Execute);
  }

  /** Guards against a name that refers to another statement after the connection was reset. */
  @Test
  void shouldNotReuseTheNameOfAPreparedStatementAfterAReset() {
    Session first = open(RouteKind.PRIMARY);
    Session second = open(RouteKind.PRIMARY);
    fixture.send(first, "1", new Statement.SetVariable("colour", "red"));
    fixture.send(first, "2", new Statement.Prepare("mine", new StatementTemplate(false, "q1")));
    fixture.send(first, "3", new Statement.Execute("mine", Optional.of("x")));
    fixture.send(second, "4", new Statement.Prepare("mine", new StatementTemplate(false, "q2")));
    fixture.send(second, "5", new Statement.Execute("mine", Optional.of("x")));

    assertThat(fixture.servers.sent())
        .extracting(sent -> (Object) sent.statement().action())
        .endsWith(
            new BackendStatement.Reset(),
            new BackendStatement.Prepare(PreparedName.of(2), new StatementTemplate(false, "q2")),
            new BackendStatement.Execute(PreparedName.of(2), Optional.of("x")));
  }
}
