package org.persimmonwalk.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.testing.FakeClock;

class SuspensionDetectorTest {
  private final FakeClock clock = new FakeClock();
  private long wallClock = 5_000_000;
  private final SuspensionDetector detector =
      SuspensionDetector.of(clock, () -> wallClock, Duration.ofMillis(250));

  private void pass(long monotonicMillis, long wallClockMillis) {
    clock.advance(Duration.ofMillis(monotonicMillis));
    wallClock += wallClockMillis;
  }

  @Test
  void shouldNotDetectSuspensionWhileBothClocksAgree() {
    MonotonicTime start = clock.now();
    pass(10_000, 10_100);

    assertThat(detector.lastResumedAt()).isEqualTo(start);
  }

  /** Guards against missing a suspension, during which the monotonic clock stops. */
  @Test
  void shouldDetectSuspensionWhenTheWallClockRunsAhead() {
    pass(1_000, 6_000);

    assertThat(detector.lastResumedAt()).isEqualTo(clock.now());
  }

  /** Guards against a backward step of the wall clock that hides the next suspension. */
  @Test
  void shouldDetectSuspensionAfterABackwardStep() {
    pass(1_000, -9_000);
    assertThat(detector.lastResumedAt()).isEqualTo(MonotonicTime.of(0));
    pass(100, 3_000);

    assertThat(detector.lastResumedAt()).isEqualTo(clock.now());
  }

  /** Guards against deadlines that leave out the time for which the host was suspended. */
  @Test
  void shouldAddUpTheTimeOfAllSuspensions() {
    pass(1_000, 6_000);
    assertThat(detector.suspendedTime()).isEqualTo(Duration.ofMillis(5_000));
    pass(1_000, 1_200);
    pass(1_000, 1_700);

    assertThat(detector.suspendedTime()).isEqualTo(Duration.ofMillis(5_900));
  }
}
