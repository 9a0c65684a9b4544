package org.persimmonwalk.retry;

import org.persimmonwalk.model.MonotonicTime;

/** Decides which statements run again. Implementations are safe for use by several threads. */
public interface RetryPolicy {

  /** Takes note of a statement that is sent for the first time. */
  void recordFirstAttempt(MonotonicTime now);

  /** Returns whether the statement may be sent again. */
  boolean mayRetry(FailedAttempt attempt, MonotonicTime now);
}
