package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.FakeCaller;

/** Guards against answers that pile up in the host for a caller that does not read them. */
class UnreadAnswersTest {
  private final EngineFixture fixture = new EngineFixture(1);
  private final FakeCaller caller = new FakeCaller();

  @Test
  void shouldStartNoStatementWhileTheCallerDoesNotRead() {
    Session session = fixture.open(fixture.hosts.get(0), RouteKind.PRIMARY, caller);
    caller.setWritable(false);
    fixture.send(session, "1", new Statement.SetVariable("v", "1"));
    fixture.send(session, "2", new Statement.SetVariable("v", "2"));
    assertThat(caller.answered()).isZero();

    caller.setWritable(true);
    session.resume();
    assertThat(caller.answered()).isEqualTo(2);
    assertThat(caller.succeeded()).isEqualTo(2);
  }

  @Test
  void shouldStartNothingOnceTheCallerIsGone() {
    Session session = fixture.open(fixture.hosts.get(0), RouteKind.PRIMARY, caller);
    caller.setWritable(false);
    fixture.send(session, "1", new Statement.SetVariable("v", "1"));
    session.callerDisconnected();

    caller.setWritable(true);
    session.resume();
    assertThat(caller.answered()).isZero();
  }

  /**
   * Guards against a stack that grows with each statement: its overflow left the timers of the
   * event loop in disorder, which ended the traffic thread.
   */
  @Test
  void shouldAnswerManyStatementsAtTheSameDepthOfTheStack() {
    Session session = fixture.open(fixture.hosts.get(0), RouteKind.PRIMARY, caller);
    List<Integer> depths = new ArrayList<>();
    caller.onAnswer(() -> depths.add(Thread.currentThread().getStackTrace().length));
    caller.setWritable(false);
    for (int i = 0; i < 256; i++) {
      session.receive(RequestId.of("s" + i), new Statement.SetVariable("v", "1"));
    }

    caller.setWritable(true);
    session.resume();

    assertThat(depths).hasSize(256);
    assertThat(Set.copyOf(depths)).hasSize(1);
  }
}
