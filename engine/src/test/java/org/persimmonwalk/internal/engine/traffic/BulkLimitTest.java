package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.model.MonotonicTime;

/** Tests the limit of bulk statements that a host has in flight at a server. */
class BulkLimitTest {
  private static final double HEADROOM = 20;
  private static final double WORK = 20;
  private static final int SLOTS = 4;

  private final BulkLimit limit = new BulkLimit();
  private MonotonicTime now = MonotonicTime.of(0);

  private static BulkLimit.Load load(double waitMillis, int hosts) {
    return new BulkLimit.Load(waitMillis, HEADROOM, WORK, SLOTS, hosts);
  }

  private void pass(long millis) {
    now = now.plus(Duration.ofMillis(millis));
  }

  private boolean opens(double waitMillis, int hosts, int inFlight) {
    return !limit.opensAt(load(waitMillis, hosts), inFlight, now).isAfter(now);
  }

  /** Guards against a limit while no urgent route is in danger. */
  @Test
  void shouldNotLimitWhileTheWaitLeavesTheHeadroom() {
    assertThat(limit.update(load(HEADROOM, 94), now)).isFalse();
    assertThat(limit.isActive()).isFalse();
    assertThat(opens(HEADROOM, 94, 1000)).isTrue();
  }

  /** Guards against hosts that together send more than fills the slots and the headroom. */
  @Test
  void shouldStartBelowTheEvenShare() {
    assertThat(limit.update(load(40, 94), now)).isTrue();

    assertThat(limit.limit() * 94).isLessThanOrEqualTo(SLOTS * (1 + HEADROOM / WORK));
  }

  /** Guards against decreases that repeat before the zone's reports can show the first one. */
  @Test
  void shouldDecreaseOnceForEachIntervalOfTheReports() {
    limit.update(load(40, 8), now);
    double first = limit.limit();
    pass(1000);
    limit.update(load(80, 8), now);
    assertThat(limit.limit()).isEqualTo(first);
    pass(300);
    limit.update(load(80, 8), now);
    assertThat(limit.limit()).isEqualTo(first / 2);
  }

  /** Guards against bulk work that starves while a server stays slow. */
  @Test
  void shouldAlwaysLetAStatementThroughAtLast() {
    for (int i = 0; i < 100; i++) {
      limit.update(load(1000, 94), now);
      limit.recordHeld(now);
      limit.recordStart(now);
      pass(2000);
      assertThat(opens(1000, 94, 0)).isTrue();
    }
    assertThat(limit.limit()).isPositive();
  }

  /** Guards against a second statement in flight, or one too soon, under a limit below one. */
  @Test
  void shouldSpaceStatementsWhileTheLimitIsBelowOne() {
    limit.update(load(40, 94), now);
    limit.recordStart(now);

    assertThat(opens(40, 94, 1)).isFalse();
    assertThat(opens(40, 94, 0)).isFalse();
    pass((long) ((WORK + HEADROOM) / limit.limit()) + 1);
    assertThat(opens(40, 94, 0)).isTrue();
  }

  /** Guards against a limit that stays after the load has gone. */
  @Test
  void shouldGrowAndEndOnceNothingIsHeld() {
    limit.update(load(40, 8), now);
    double first = limit.limit();
    pass(300);
    limit.update(load(0, 8), now);
    assertThat(limit.limit()).isGreaterThan(first);
    pass(5000);
    assertThat(limit.update(load(0, 8), now)).isTrue();
    assertThat(limit.isActive()).isFalse();
  }
}
