package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.model.MonotonicTime;

class TokenOutlookTest {
  private static final MonotonicTime NOW = MonotonicTime.of(1_000_000_000L);
  private static final MonotonicTime SOON = NOW.plus(Duration.ofMillis(700));

  private static Optional<MonotonicTime> noTokenBefore(
      boolean hasLender, boolean isStoreDown, MonotonicTime bucketEmptyUntil) {
    return new TokenOutlook(hasLender, isStoreDown, Optional.of(bucketEmptyUntil))
        .noTokenBefore(NOW);
  }

  /** Guards against refusing operations that a lender or its stand-in can still serve. */
  @Test
  void shouldWaitWhileALenderMayLend() {
    assertThat(noTokenBefore(true, true, SOON)).isEmpty();
  }

  /** Guards against operations that wait in vain while neither lender nor store can be reached. */
  @Test
  void shouldExpectNoTokenWithoutLenderAndStore() {
    assertThat(noTokenBefore(false, true, NOW)).contains(TokenOutlook.NOT_IN_SIGHT);
  }

  /** Guards against refusing operations while the store can give a token at any time. */
  @Test
  void shouldExpectATokenFromTheBucketOfAReachableStore() {
    assertThat(noTokenBefore(false, false, NOW)).isEmpty();
    assertThat(noTokenBefore(false, false, SOON)).contains(SOON);
  }

  /** Guards against a forecast that leaves out the rate, or what hosts hold and may return. */
  @Test
  void shouldForecastWhenTheBucketHoldsAToken() {
    assertThat(new BucketForecast(0.5, 0.25, 10).emptyFor(3)).isEqualTo(Duration.ofSeconds(2));
    assertThat(new BucketForecast(0.5, 0, 10).emptyFor(3)).isEqualTo(Duration.ofHours(1));
    assertThat(new BucketForecast(0.5, 0.25, 10).emptyFor(10)).isZero();
    assertThat(new BucketForecast(1, 0.25, 10).emptyFor(3)).isZero();
    assertThat(BucketForecast.UNKNOWN.emptyFor(3)).isZero();
  }
}
