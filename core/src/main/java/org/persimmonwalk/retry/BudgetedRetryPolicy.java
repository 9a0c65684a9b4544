package org.persimmonwalk.retry;

import java.util.stream.LongStream;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.result.StatementState;
import org.persimmonwalk.routing.StatementKind;

/**
 * Retries statements that did not run, reads, and statements with an idempotency key, within a
 * budget of 10 % of the first attempts. Each first attempt earns a tenth of a token that is valid
 * for 9 s, so that a long time without failures does not save up for a burst in an outage. Safe for
 * use by several threads.
 */
public final class BudgetedRetryPolicy implements RetryPolicy {
  /** The most retries of one statement. */
  public static final int MAXIMUM_RETRIES = 2;

  private static final double RETRIES_PER_FIRST_ATTEMPT = 0.1;

  /** Retries that are always allowed per window, so that a host without load may retry too. */
  private static final int FLOOR = 3;

  private static final long SLICE_NANOSECONDS = 1_000_000_000;

  /**
   * Slices that earn, the current one included. It is one fewer than 10 s, so that retries stay
   * within 10 % of the first attempts of an outage of 10 s also if the load falls a little.
   */
  private static final int EARNING_SLICES = 9;

  /** Slices in which retries count: any 10 s fall into this many. */
  private static final int SPENDING_SLICES = 11;

  private final long[] firstAttempts = new long[SPENDING_SLICES];
  private final long[] retries = new long[SPENDING_SLICES];
  private long currentSlice = Long.MIN_VALUE;

  private BudgetedRetryPolicy() {}

  /** Returns a policy with an empty window. */
  public static BudgetedRetryPolicy create() {
    return new BudgetedRetryPolicy();
  }

  @Override
  public synchronized void recordFirstAttempt(MonotonicTime now) {
    firstAttempts[moveTo(now)]++;
  }

  @Override
  public synchronized boolean mayRetry(FailedAttempt attempt, MonotonicTime now) {
    int index = moveTo(now);
    long spent = LongStream.of(retries).sum();
    if (!isRepeatable(attempt) || attempt.attempts() > MAXIMUM_RETRIES || spent + 1 > budget()) {
      return false;
    }
    retries[index]++;
    return true;
  }

  private double budget() {
    long earning = 0;
    for (int age = 0; age < EARNING_SLICES; age++) {
      earning += firstAttempts[indexOf(currentSlice - age)];
    }
    return Math.max(FLOOR, RETRIES_PER_FIRST_ATTEMPT * earning);
  }

  private static boolean isRepeatable(FailedAttempt attempt) {
    return attempt.state() == StatementState.NOT_RUN
        || attempt.state() == StatementState.UNKNOWN
            && (attempt.kind() == StatementKind.READ || attempt.idempotent());
  }

  /** Forgets the slices that have left the window; returns the index of the one for the time. */
  private int moveTo(MonotonicTime now) {
    long slice = Math.floorDiv(now.nanoseconds(), SLICE_NANOSECONDS);
    if (slice > currentSlice) {
      long first = Math.max(currentSlice, slice - SPENDING_SLICES) + 1;
      for (long passed = first; passed <= slice; passed++) {
        firstAttempts[indexOf(passed)] = 0;
        retries[indexOf(passed)] = 0;
      }
      currentSlice = slice;
    }
    return indexOf(currentSlice);
  }

  private static int indexOf(long slice) {
    return Math.floorMod(slice, SPENDING_SLICES);
  }
}
