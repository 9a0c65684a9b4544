package org.persimmonwalk.retry;

import org.persimmonwalk.model.MonotonicTime;

/** Never retries. Benchmarks use it as the baseline for {@link BudgetedRetryPolicy}. */
public final class NeverRetry implements RetryPolicy {

  private NeverRetry() {}

  /** Returns the policy. */
  public static NeverRetry create() {
    return new NeverRetry();
  }

  @Override
  public void recordFirstAttempt(MonotonicTime now) {
    // Without retries there is no budget to keep.
  }

  @Override
  public boolean mayRetry(FailedAttempt attempt, MonotonicTime now) {
    return false;
  }
}
