package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
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
}
