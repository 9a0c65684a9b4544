package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.DatabaseName;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.model.MonotonicTime;

class RemainingTimeTest {
  private static final Route ROUTE =
      new Route(
          DatabaseName.of("tanks"),
          EngineFixture.GROUP,
          RouteKind.PRIMARY,
          Duration.ofMillis(800),
          Duration.ofMillis(200),
          0,
          Duration.ZERO,
          false);

  private static RemainingTime remaining(long leftMillis, long usualMillis) {
    return new RemainingTime(Duration.ofMillis(leftMillis), Duration.ofMillis(usualMillis));
  }

  /** Guards against statements that are sent although their answer usually comes too late. */
  @Test
  void shouldCompareTheTimeLeftWithTheUsualWork() {
    assertThat(remaining(100, 100).sufficesForStatement()).isTrue();
    assertThat(remaining(99, 100).sufficesForStatement()).isFalse();
    assertThat(remaining(0, 0).sufficesForStatement()).isFalse();
  }

  /** Guards against a shorter wait for tokens in calm operation, and against a useless one. */
  @Test
  void shouldWaitForATokenWhileTheStatementStaysPossible() {
    assertThat(remaining(800, 20).tokenWait(ROUTE)).isEqualTo(ROUTE.tokenWait());
    assertThat(remaining(300, 20).tokenWait(ROUTE)).isEqualTo(Duration.ofMillis(280));
  }

  /** Guards against refusals that last because nothing is sent that could be measured. */
  @Test
  void shouldForgetALongLatencyWithoutFurtherAnswers() {
    RouteLatencies latencies = new RouteLatencies();
    MonotonicTime now = MonotonicTime.of(0);
    assertThat(latencies.usual(ROUTE, now)).isZero();
    for (int i = 0; i < 50; i++) {
      latencies.record(ROUTE, Duration.ofMillis(700), now);
    }

    assertThat(latencies.usual(ROUTE, now)).isGreaterThan(Duration.ofMillis(690));
    assertThat(latencies.usual(ROUTE, now.plus(Duration.ofSeconds(3))))
        .isLessThan(Duration.ofMillis(180));
  }
}
