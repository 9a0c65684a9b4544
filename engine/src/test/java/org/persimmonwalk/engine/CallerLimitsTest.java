package org.persimmonwalk.engine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.CallerLimits.Wait;

/** Tests that callers inside the limits of the protocol are not affected, and others are. */
class CallerLimitsTest {
  private static final long LONGEST_LINE = 1 << 20;

  /** Guards against a caller that is not read although it sends one statement at a time. */
  @Test
  void shouldReadACallerThatSendsOneStatementAtATime() {
    assertThat(CallerLimits.readsAhead(0, 0)).isTrue();
    assertThat(CallerLimits.readsAhead(1, LONGEST_LINE)).isTrue();
  }

  /** Guards against statements read without end while one runs. */
  @Test
  void shouldNotReadFarAhead() {
    assertThat(CallerLimits.readsAhead(3, 3000)).isTrue();
    assertThat(CallerLimits.readsAhead(4, 4000)).isFalse();
    assertThat(CallerLimits.readsAhead(2, LONGEST_LINE)).isFalse();
  }

  /** Guards against closing a caller that starts within 2 s, even if all connections are taken. */
  @Test
  void shouldWaitForTheFirstMessage() {
    assertThat(CallerLimits.isOver(Wait.START, 3, true)).isFalse();
    assertThat(CallerLimits.isOver(Wait.START, 4, true)).isTrue();
    assertThat(CallerLimits.isOver(Wait.START, 10, false)).isFalse();
    assertThat(CallerLimits.isOver(Wait.START, 11, false)).isTrue();
  }

  /** Guards against idle sessions that are closed, and lines and readers that never end. */
  @Test
  void shouldWaitForEverOnlyForIdleCallers() {
    assertThat(CallerLimits.isOver(Wait.NONE, 1_000_000, true)).isFalse();
    assertThat(CallerLimits.isOver(Wait.LINE, 30, true)).isFalse();
    assertThat(CallerLimits.isOver(Wait.LINE, 31, false)).isTrue();
    assertThat(CallerLimits.isOver(Wait.READER, 20, true)).isFalse();
    assertThat(CallerLimits.isOver(Wait.READER, 21, false)).isTrue();
  }
}
