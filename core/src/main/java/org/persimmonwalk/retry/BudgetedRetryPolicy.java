package org.persimmonwalk.retry;

import java.util.stream.LongStream;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.result.StatementState;
import org.persimmonwalk.routing.StatementKind;

/**
 * Retries statements that did not run, reads, and statements with an idempotency key, within a
 * budget of 10 % of the first attempts. Each first attempt adds a tenth of a token, which expires
 * after 9 s, so that a long time without failures does not accumulate a burst of retries for an
 * outage. Thread-safe.
 */
public final class BudgetedRetryPolicy implements RetryPolicy {
  /** The maximum number of retries of one statement. */
  public static final int MAXIMUM_RETRIES = 2;

  private static final double RETRIES_PER_FIRST_ATTEMPT = 0.1;

  /** Retries per window that are allowed at any load, so that an idle host can retry as well. */
  private static final int MINIMUM_BUDGET = 3;

  private static final long SLICE_NANOSECONDS = 1_000_000_000;

  /**
   * Slices whose first attempts add to the budget, including the current one. They cover less than
   * 10 s, so that retries stay within 10 % of the first attempts of a 10 s outage even if the load
   * falls a little.
   */
  private static final int BUDGET_SLICES = 9;

  /** Slices whose retries count against the budget. Any 10 s overlap at most this many slices. */
  private static final int WINDOW_SLICES = 11;

  private final long[] firstAttempts = new long[WINDOW_SLICES];
  private final long[] retries = new long[WINDOW_SLICES];
  private long currentSlice = Long.MIN_VALUE;

  private BudgetedRetryPolicy() {}

  /** Returns a policy that has recorded no attempts. */
  public static BudgetedRetryPolicy create() {
    return new BudgetedRetryPolicy();
  }

  @Override
  public synchronized void recordFirstAttempt(MonotonicTime now) {
    firstAttempts[advanceTo(now)]++;
  }

  @Override
  public synchronized boolean mayRetry(FailedAttempt attempt, MonotonicTime now) {
    int index = advanceTo(now);
    long spent = LongStream.of(retries).sum();
    if (!isRepeatable(attempt) || attempt.attempts() > MAXIMUM_RETRIES || spent + 1 > budget()) {
      return false;
    }
    retries[index]++;
    return true;
  }

  private double budget() {
    long counted = 0;
    for (int age = 0; age < BUDGET_SLICES; age++) {
      counted += firstAttempts[indexOf(currentSlice - age)];
    }
    return Math.max(MINIMUM_BUDGET, RETRIES_PER_FIRST_ATTEMPT * counted);
  }

  private static boolean isRepeatable(FailedAttempt attempt) {
    return attempt.state() == StatementState.NOT_RUN
        || attempt.state() == StatementState.UNKNOWN
            && (attempt.kind() == StatementKind.READ || attempt.idempotent());
  }

  /** Clears the slices that have left the window and returns the index of the current slice. */
  private int advanceTo(MonotonicTime now) {
    long slice = Math.floorDiv(now.nanoseconds(), SLICE_NANOSECONDS);
    if (slice > currentSlice) {
      long first = Math.max(currentSlice, slice - WINDOW_SLICES) + 1;
      for (long started = first; started <= slice; started++) {
        firstAttempts[indexOf(started)] = 0;
        retries[indexOf(started)] = 0;
      }
      currentSlice = slice;
    }
    return indexOf(currentSlice);
  }

  private static int indexOf(long slice) {
    return Math.floorMod(slice, WINDOW_SLICES);
  }
}
