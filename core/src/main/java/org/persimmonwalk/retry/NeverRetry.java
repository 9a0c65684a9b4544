package org.persimmonwalk.retry;

import org.persimmonwalk.model.MonotonicTime;

/** Retries nothing; the baseline. */
public final class NeverRetry implements RetryPolicy {

  private NeverRetry() {}

  /** Returns the policy. */
  public static NeverRetry create() {
    return new NeverRetry();
  }

  @Override
  public void recordFirstAttempt(MonotonicTime now) {
    // No budget is kept.
  }

  @Override
  public boolean mayRetry(FailedAttempt attempt, MonotonicTime now) {
    return false;
  }
}
