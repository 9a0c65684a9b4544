package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.control.OrderPromotion;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.StoreVersion;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.MonotonicTime;

/** Guards against orders with an old fencing token, after the next holder has sent its own. */
class HeldLeaseTest {
  private static final MonotonicTime START = MonotonicTime.of(0);
  private static final MonotonicTime TAKEN_AT = START.plus(Duration.ofSeconds(10));

  private final OrderPromotion order =
      new HeldLease(1, StoreVersion.of(StoreEra.UNKNOWN, 1), TAKEN_AT)
          .order(EngineFixture.server("s2", false), EntryHostId.of("host1"));

  @Test
  void shouldAllowAnOrderOnlyUntilItsDeadline() {
    MonotonicTime deadline = TAKEN_AT.plus(HeldLease.ORDER_DEADLINE);

    assertThat(order.maySend(TAKEN_AT, START)).isTrue();
    assertThat(order.maySend(deadline.minus(Duration.ofMillis(1)), START)).isTrue();
    assertThat(order.maySend(deadline, START)).isFalse();
  }

  /**
   * The monotonic clock stands still during a suspension, so the deadline alone tells too little.
   */
  @Test
  void shouldNotAllowAnOrderAfterASuspension() {
    MonotonicTime resumedAt = TAKEN_AT.plus(Duration.ofMillis(10));

    assertThat(order.maySend(resumedAt, resumedAt)).isFalse();
  }
}
