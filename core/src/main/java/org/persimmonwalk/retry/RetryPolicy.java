package org.persimmonwalk.retry;

import org.persimmonwalk.model.MonotonicTime;

/**
 * Decides which failed statements are retried. Traffic threads call it, so implementations are
 * thread-safe.
 */
public interface RetryPolicy {

  /** Records a statement that is sent for the first time. */
  void recordFirstAttempt(MonotonicTime now);

  /** Returns whether the statement may be retried now; if so, records the retry. */
  boolean mayRetry(FailedAttempt attempt, MonotonicTime now);
}
