package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.control.ServerLoad;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;

/** Tests the estimate of the wait in a server's queue. */
class QueueWaitTest {
  private static final BackendServerId SERVER = BackendServerId.of("s");
  private static final ServerLoad NO_REPORT = new ServerLoad(SERVER, 0, 0, Duration.ZERO, 0, 0);

  private final QueueWait wait = new QueueWait();
  private final RouteWork work = new RouteWork();
  private MonotonicTime now = MonotonicTime.of(0);

  private void answer(double latencyMillis) {
    now = now.plus(Duration.ofMillis(100));
    wait.recordAnswer(latencyMillis, work.add(latencyMillis, now), now);
  }

  private static ServerLoad report(int answers, int meanMillis) {
    Duration sum = Duration.ofMillis((long) answers * meanMillis);
    return new ServerLoad(SERVER, 0, answers, sum, 0, 10);
  }

  /** Guards against long work that is taken for a queue. */
  @Test
  void shouldNotTakeWorkForWait() {
    for (int i = 0; i < 50; i++) {
      answer(22);
    }

    assertThat(wait.millis(NO_REPORT, now)).isZero();
  }

  /** Guards against a queue that is taken for work when it lasts. */
  @Test
  void shouldStillSeeAQueueAfterAMinute() {
    answer(10);
    for (int i = 0; i < 600; i++) {
      answer(110);
    }

    assertThat(wait.millis(NO_REPORT, now)).isGreaterThan(50);
  }

  /** Guards against a host without relay that ignores its own answers. */
  @Test
  void shouldUseOwnAnswersWithoutReports() {
    answer(10);
    for (int i = 0; i < 10; i++) {
      answer(60);
    }

    assertThat(wait.millis(NO_REPORT, now)).isBetween(35.0, 50.0);
  }

  /** Guards against a host that sees nothing of a queue since it sends the server little. */
  @Test
  void shouldUseTheAnswersOfTheZone() {
    answer(10);

    assertThat(wait.millis(report(50, 80), now)).isBetween(60.0, 70.0);
  }

  /** Guards against a host that never sends again as its last sample was bad. */
  @Test
  void shouldForgetOldSamples() {
    answer(10);
    for (int i = 0; i < 10; i++) {
      answer(200);
    }
    now = now.plus(Duration.ofSeconds(5));

    assertThat(wait.millis(NO_REPORT, now)).isLessThan(1);
  }

  /** Guards against a full queue that looks like an idle server, since refusals are fast. */
  @Test
  void shouldTakeARefusalForALongWait() {
    answer(10);
    wait.recordFullQueue(now);

    assertThat(wait.millis(NO_REPORT, now)).isGreaterThan(40);
  }
}
