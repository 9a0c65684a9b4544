package org.persimmonwalk.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.testing.FakeClock;

class SuspensionDetectorTest {
  private final FakeClock clock = new FakeClock();
  private long timeOfDay = 5_000_000;
  private final SuspensionDetector detector = SuspensionDetector.of(clock, () -> timeOfDay);

  private void pass(long steadyMillis, long timeOfDayMillis) {
    clock.advance(Duration.ofMillis(steadyMillis));
    timeOfDay += timeOfDayMillis;
  }

  @Test
  void shouldSeeNoSuspensionWhileBothClocksAgree() {
    MonotonicTime start = clock.now();
    pass(10_000, 10_100);

    assertThat(detector.lastResumedAt()).isEqualTo(start);
  }

  /** Guards against a steady clock that stood still while the machine was suspended. */
  @Test
  void shouldSeeTheTimeOfDayRunAhead() {
    pass(1_000, 6_000);

    assertThat(detector.lastResumedAt()).isEqualTo(clock.now());
  }

  /** A step back hides nothing: the next suspension is seen against the new offset. */
  @Test
  void shouldSeeASuspensionAfterAStepBack() {
    pass(1_000, -9_000);
    assertThat(detector.lastResumedAt()).isEqualTo(MonotonicTime.of(0));
    pass(100, 3_000);

    assertThat(detector.lastResumedAt()).isEqualTo(clock.now());
  }
}
