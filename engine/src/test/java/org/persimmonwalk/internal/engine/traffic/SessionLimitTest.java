package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.ByteBudget;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.StatementTemplate;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.FakeCaller;

/** Guards against sessions that fill the heap, after which whichever allocates next fails. */
class SessionLimitTest {
  private static final String LONG_TEXT = "x".repeat(900_000);

  /** The length of the texts that a heap of 48 MB holds for a session and for all sessions. */
  private static final int TEXTS_PER_SESSION = 3;

  private static final int TEXTS_PER_HOST = 13;

  private final EngineFixture fixture = new EngineFixture(1);
  private final FakeCaller caller = new FakeCaller();

  private Session open(FakeCaller opened) {
    return fixture.open(fixture.hosts.get(0), RouteKind.PRIMARY, opened);
  }

  private int fill(Session session, FakeCaller of, int texts) {
    int accepted = 0;
    for (int i = 0; i < texts; i++) {
      Statement statement =
          i % 2 == 0
              ? new Statement.Prepare("s" + i, new StatementTemplate(false, LONG_TEXT))
              : new Statement.SetVariable("v" + i, LONG_TEXT);
      fixture.send(session, "f" + i, statement);
      accepted += of.last().succeeded() ? 1 : 0;
    }
    return accepted;
  }

  @Test
  void shouldLimitWhatOneSessionHolds() {
    Session session = open(caller);

    assertThat(fill(session, caller, 46)).isEqualTo(TEXTS_PER_SESSION);

    assertThat(caller.last().failedWith(FailureCode.OVERLOADED)).isTrue();
    assertThat(fixture.events).anyMatch(event -> event.startsWith("session-limit-reached"));
    fixture.send(session, "2", new Statement.Deallocate("s0"));
    fixture.send(session, "3", new Statement.SetVariable("w", LONG_TEXT));
    assertThat(caller.last().succeeded()).isTrue();
    FakeCaller other = new FakeCaller();
    assertThat(fill(open(other), other, 2)).isEqualTo(2);
  }

  @Test
  void shouldLimitWhatAllSessionsHoldAndFreeWhatEndedSessionsHeld() {
    Session first = open(caller);
    int accepted = fill(first, caller, TEXTS_PER_SESSION);
    for (int i = 0; i < TEXTS_PER_HOST; i++) {
      FakeCaller other = new FakeCaller();
      accepted += fill(open(other), other, 2);
    }
    assertThat(accepted).isEqualTo(TEXTS_PER_HOST);

    FakeCaller late = new FakeCaller();
    Session session = open(late);
    assertThat(fill(session, late, 1)).isZero();
    first.callerDisconnected();
    first.callerDisconnected();
    assertThat(fill(session, late, TEXTS_PER_SESSION + 1)).isEqualTo(TEXTS_PER_SESSION);
  }

  /** Guards against variables and statements that fill the heap beside the messages of callers. */
  @Test
  void shouldCloseTheSessionThatHoldsMostWhenTheBudgetIsSpent() {
    ByteBudget budget = ByteBudget.of(4_000_000);
    caller.countIn(budget);
    FakeCaller other = new FakeCaller();
    other.countIn(budget);
    Session largest = open(caller);
    fill(largest, caller, 2);
    Session small = open(other);
    assertThat(fill(small, other, 1)).isEqualTo(1);
    assertThat(caller.isClosed()).isFalse();

    budget.open(bytes -> {}).add(500_000);
    assertThat(caller.isClosed()).isTrue();
    assertThat(other.isClosed()).isFalse();
    fixture.send(small, "d", new Statement.Deallocate("s0"));
    assertThat(budget.used()).isEqualTo(500_000);
  }

  /** Guards against entries whose objects take more of the heap than their characters. */
  @Test
  void shouldCountTheObjectsOfShortEntriesUntilTheSessionEnds() {
    ByteBudget budget = ByteBudget.of(4_000_000);
    caller.countIn(budget);
    Session session = open(caller);
    for (int i = 0; i < 1000; i++) {
      fixture.send(session, "v", new Statement.SetVariable("v" + i, "1"));
    }
    assertThat(budget.used()).isBetween(128_000L, 140_000L);
    session.callerDisconnected();
    session.callerDisconnected();
    assertThat(budget.used()).isZero();
  }

  @Test
  void shouldLimitTheNumberOfStatementsAndVariables() {
    Session session = open(caller);
    for (int i = 0; i < 500; i++) {
      fixture.send(session, "p", new Statement.Prepare("s" + i, new StatementTemplate(false, "q")));
      fixture.send(session, "v", new Statement.SetVariable("v" + i, "1"));
    }
    assertThat(caller.last().succeeded()).isTrue();

    fixture.send(session, "1", new Statement.SetVariable("w", "1"));
    assertThat(caller.last().failedWith(FailureCode.OVERLOADED)).isTrue();
    fixture.send(session, "2", new Statement.SetVariable("v7", "2"));
    assertThat(caller.last().succeeded()).isTrue();
  }
}
