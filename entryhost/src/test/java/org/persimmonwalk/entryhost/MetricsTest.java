package org.persimmonwalk.entryhost;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.request.StatementRequest;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.result.StatementState;
import org.persimmonwalk.routing.MinimumPosition;
import org.persimmonwalk.routing.StatementKind;
import org.persimmonwalk.testing.FakeClock;

class MetricsTest {
  private final MetricRegistry registry = new MetricRegistry();

  /** Guards against refusals and outcomes that are counted under the wrong metric name. */
  @Test
  void shouldCountRefusalsAndOutcomesByName() {
    TrafficMetrics metrics = TrafficMetrics.of(registry);
    StatementRequest request =
        new StatementRequest(
            WorkspaceId.of("oil"),
            Optional.empty(),
            DatabaseGroupId.of("tanks"),
            StatementKind.READ,
            MinimumPosition.none(),
            Optional.empty(),
            Optional.empty(),
            MonotonicTime.of(0),
            MonotonicTime.of(1));

    metrics.refused(request, ResultCode.RATE_EXCEEDED);
    metrics.finished(request, StatementState.UNKNOWN, Duration.ofMillis(7));

    assertThat(registry.counter("statements.refused.PW-2001").getCount()).isOne();
    assertThat(registry.counter("statements.refused.PW-2002").getCount()).isZero();
    assertThat(registry.counter("statements.finished.UNKNOWN").getCount()).isOne();
    assertThat(registry.timer("statements.time.UNKNOWN").getSnapshot().getMax())
        .isEqualTo(Duration.ofMillis(7).toNanos());
  }

  /** Guards against gauges that look healthy after the control loop has stopped running rounds. */
  @Test
  void shouldShowRoundTimeAndAgeOfSnapshot() {
    FakeClock clock = new FakeClock();
    ControlLoop loop =
        ControlLoop.of(
            List.of((blackboard, context) -> clock.advance(Duration.ofMillis(3))),
            command -> {},
            clock,
            RandomSource.seeded(1));
    loop.addListener(ControlMetrics.of(registry, clock, loop::droppedObservations));

    assertThat(gauge("control.snapshotAgeMilliseconds")).isEqualTo(-1L);
    loop.runRound();
    clock.advance(Duration.ofMillis(40));

    assertThat(gauge("control.rounds")).isEqualTo(1L);
    assertThat(gauge("control.roundMicroseconds")).isEqualTo(3_000L);
    assertThat(gauge("control.longestRoundMicroseconds")).isEqualTo(3_000L);
    assertThat(gauge("control.droppedObservations")).isEqualTo(0L);
    assertThat(gauge("control.snapshotAgeMilliseconds")).isEqualTo(43L);
  }

  private Object gauge(String name) {
    return registry.getGauges().get(name).getValue();
  }
}
