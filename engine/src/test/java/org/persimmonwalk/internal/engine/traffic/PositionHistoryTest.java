package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.model.MonotonicTime;

class PositionHistoryTest {
  private static final MonotonicTime START = MonotonicTime.of(0);
  private static final Duration STALENESS = Duration.ofMillis(1500);

  private final PositionHistory history = new PositionHistory();

  private static MonotonicTime at(long millis) {
    return START.plus(Duration.ofMillis(millis));
  }

  /** Guards against needlessly new positions, which fewer replicas have than old ones. */
  @Test
  void shouldReturnTheOldestPositionWithinTheStaleness() {
    history.add(at(0), TermPosition.of(1, 1));
    history.add(at(1000), TermPosition.of(1, 2));
    history.add(at(2000), TermPosition.of(1, 3));

    assertThat(history.oldestWithin(STALENESS, at(2300))).contains(TermPosition.of(1, 2));
  }

  /** Guards against a read that misses a commit older than the staleness of its route. */
  @Test
  void shouldReturnNoPositionOlderThanTheStaleness() {
    history.add(at(0), TermPosition.of(1, 1));

    assertThat(history.oldestWithin(STALENESS, at(1400))).isEmpty();
  }
}
