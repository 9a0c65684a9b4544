package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RetryBudgetTest {
  private static final int REQUESTS = 10_000;
  private static final int SAVED = 10;

  private final RetryBudget budget = new RetryBudget();

  /** Guards against retries that multiply the load while all servers fail. */
  @Test
  void shouldAllowOneRetryForTenRequestsInTheLongRun() {
    int retries = 0;
    for (int i = 0; i < REQUESTS; i++) {
      budget.recordRequest();
      while (budget.spend()) {
        retries++;
      }
    }

    assertThat(retries).isBetween(REQUESTS / 10, REQUESTS / 10 + SAVED);
  }

  /** Guards against a long calm time that allows a burst of retries. */
  @Test
  void shouldSaveUpFewRetries() {
    for (int i = 0; i < REQUESTS; i++) {
      budget.recordRequest();
    }
    int retries = 0;
    while (budget.spend()) {
      retries++;
    }

    assertThat(retries).isEqualTo(SAVED);
  }
}
