package org.persimmonwalk.peer;

import java.time.Duration;

/** Validates numbers from a peer before the control thread calculates with them. */
final class ReceivedNumbers {
  /** Far above any lease, and small enough that arithmetic with nanoseconds cannot overflow. */
  private static final Duration DURATION_LIMIT = Duration.ofDays(366);

  private ReceivedNumbers() {}

  static Duration duration(long milliseconds) {
    if (milliseconds < 0 || milliseconds > DURATION_LIMIT.toMillis()) {
      throw new IllegalArgumentException(
          "duration of " + milliseconds + " ms is not between 0 and " + DURATION_LIMIT);
    }
    return Duration.ofMillis(milliseconds);
  }

  static long units(long value) {
    if (value < 0) {
      throw new IllegalArgumentException("number of units " + value + " is negative");
    }
    return value;
  }

  static double amount(double value) {
    if (!(value >= 0 && value < Double.MAX_VALUE)) {
      throw new IllegalArgumentException("amount " + value + " is negative or not a finite number");
    }
    return value;
  }
}
