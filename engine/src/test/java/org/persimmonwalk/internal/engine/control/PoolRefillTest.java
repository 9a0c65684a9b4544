package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.RateLimit;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.model.MonotonicTime;

/** Tests the tokens that a lender adds to its pool without a call to the store. */
class PoolRefillTest {
  private static final EngineSettings SETTINGS =
      EngineSettingsFixture.of(0, 3, EngineSettingsFixture.USUAL_BOUNDS);
  private static final RateLimit LIMIT = new RateLimit(40, 40);
  private static final long MILLI = 1_000_000;

  private final PoolRefill refill = new PoolRefill(at(0));

  private static MonotonicTime at(long millis) {
    return MonotonicTime.of(millis * MILLI);
  }

  /** Guards against a pool that holds more than the row records. */
  @Test
  void shouldAddNoMoreThanWasHeldAtTheCall() {
    refill.begin(20, 10, at(0));

    assertThat(refill.credit(4, at(200))).isEqualTo(4);
    assertThat(refill.credit(4, at(2000))).isEqualTo(6);
    assertThat(refill.credit(10, at(2500))).isZero();
  }

  /** Guards against a lender that goes on for longer than the row withholds the refill. */
  @Test
  void shouldEndThreeSecondsAfterTheCall() {
    refill.begin(10, 100, at(0));

    assertThat(refill.credit(0, at(60_000))).isEqualTo(30);
    assertThat(refill.credit(0, at(61_000))).isZero();
  }

  /** Guards against a refill that the row does not record if the answer to a write is lost. */
  @Test
  void shouldAddTheLesserRefillWhileTheOutcomeOfAWriteIsUnknown() {
    refill.begin(10, 100, at(0));
    refill.startRecording(4, 20);

    assertThat(refill.credit(0, at(1000))).isEqualTo(4);

    refill.startRecording(8, 20);

    assertThat(refill.credit(0, at(2000))).isEqualTo(4);
    assertThat(refill.credit(19, at(3000))).isEqualTo(1);
  }

  /** Guards against tokens that both the bucket and a pool receive, at random times of writes. */
  @Test
  void shouldAddNoMoreThanTheRateTogetherWithTheBucket() {
    SplittableRandom random = new SplittableRandom(1);
    RateRow row = new RateRow(0, 0, Map.of());
    double perSecond = 0;
    double added = 0;
    long now = 0;
    for (int write = 0; write < 200; write++) {
      now += 1 + random.nextInt(4500);
      added += refill.credit(0, at(now));
      double before = row.tokens();
      RateRow refilled = row.refilled(LIMIT, SETTINGS, SETTINGS.host(), now);
      added += refilled.tokens() - before;
      perSecond = random.nextInt((int) (LIMIT.perSecond() * AcquisitionPlanner.LARGEST_REFILL));
      refill.startRecording(perSecond, Long.MAX_VALUE);
      refill.begin(perSecond, Long.MAX_VALUE, at(now));
      row =
          new RateRow(0, now, refilled.holdings())
              .taken(SETTINGS.host(), 0, new RateRow.Holding(1, now, 1, 1, perSecond));

      assertThat(added).isLessThanOrEqualTo(LIMIT.perSecond() * now / 1000);
    }
    assertThat(added).isGreaterThan(LIMIT.perSecond() * Duration.ofMillis(now).toSeconds() / 2);
  }

  /** Guards against a refill above the new rate after a limit was lowered. */
  @Test
  void shouldKeepThePartOfTheNewRate() {
    refill.begin(28, 100, at(0));
    refill.lower(LIMIT, new RateLimit(10, 10));

    assertThat(refill.credit(0, at(1000))).isEqualTo(7);

    refill.lower(new RateLimit(10, 10), LIMIT);

    assertThat(refill.credit(0, at(2000))).isEqualTo(7);

    refill.lower(LIMIT, null);

    assertThat(refill.credit(0, at(3000))).isZero();
  }
}
