package org.persimmonwalk.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.result.StatementState;
import org.persimmonwalk.routing.StatementKind;
import org.persimmonwalk.testing.FakeClock;

class BudgetedRetryPolicyTest {
  private final FakeClock clock = new FakeClock();
  private final RetryPolicy policy = BudgetedRetryPolicy.create();

  /** Guards against retries that increase the load of an outage by more than a tenth. */
  @ParameterizedTest
  @CsvSource({"100, 10", "1000, 10", "1000, 3", "1000, 60"})
  void shouldKeepRetriesWithinATenthOfFirstAttempts(int perSecond, int outageSeconds) {
    for (int statement = 0; statement < perSecond * 300; statement++) {
      clock.advance(Duration.ofSeconds(1).dividedBy(perSecond));
      policy.recordFirstAttempt(clock.now());
    }

    int first = perSecond * outageSeconds;
    int retries = attempt(first, perSecond);

    assertThat(retries).isPositive().isLessThanOrEqualTo(Math.max(first, perSecond * 10) / 10);
  }

  /** Guards against a host that does not retry its first failures after a time without load. */
  @Test
  void shouldRetryFirstFailuresAfterIdleTime() {
    attempt(1000, 100);
    clock.advance(Duration.ofHours(1));

    assertThat(attempt(10, 100)).isEqualTo(3);
  }

  /** Guards against a retry of a write that may have run and has no idempotency key. */
  @ParameterizedTest
  @CsvSource({
    "READ, NOT_RUN, false, 1, true",
    "READ, UNKNOWN, false, 1, true",
    "READ, RAN, false, 1, false",
    "WRITE, NOT_RUN, false, 1, true",
    "WRITE, NOT_RUN, false, 2, true",
    "WRITE, NOT_RUN, false, 3, false",
    "WRITE, UNKNOWN, false, 1, false",
    "WRITE, UNKNOWN, true, 1, true",
    "WRITE, UNKNOWN, true, 3, false",
    "WRITE, RAN, true, 1, false",
    "WRITE, NOT_APPLICABLE, true, 1, false",
  })
  void shouldRetryOnlyRepeatableStatements(
      StatementKind kind, StatementState state, boolean idempotent, int attempts, boolean retry) {
    FailedAttempt attempt = new FailedAttempt(kind, state, idempotent, attempts);

    assertThat(policy.mayRetry(attempt, clock.now())).isEqualTo(retry);
  }

  /** Guards against statements that failed together and are retried together. */
  @Test
  void shouldSpreadRetriesBelowDoublingBound() {
    RetryBackoff longest = RetryBackoff.of(bound -> bound - 1);

    assertThat(RetryBackoff.of(bound -> 0).delay(1)).isPositive();
    assertThat(longest.delay(1)).isEqualTo(Duration.ofMillis(20));
    assertThat(longest.delay(2)).isEqualTo(Duration.ofMillis(40));
    assertThat(longest.delay(50)).isEqualTo(Duration.ofMillis(320));
    RetryBackoff seeded = RetryBackoff.of(RandomSource.seeded(1));
    assertThat(seeded.delay(1)).isNotEqualTo(seeded.delay(1));
  }

  /** Sends first attempts that all fail and returns how many retries were allowed. */
  private int attempt(int count, int perSecond) {
    int retries = 0;
    for (int statement = 0; statement < count; statement++) {
      clock.advance(Duration.ofSeconds(1).dividedBy(perSecond));
      policy.recordFirstAttempt(clock.now());
      FailedAttempt failed =
          new FailedAttempt(StatementKind.READ, StatementState.NOT_RUN, false, 1);
      retries += policy.mayRetry(failed, clock.now()) ? 1 : 0;
    }
    return retries;
  }
}
