package org.persimmonwalk.peer;

import java.time.Duration;

/** Checks numbers that a peer sent, before they reach the arithmetic of the control thread. */
final class ReceivedNumbers {
  /** Far above any lease, and small enough that arithmetic with nanoseconds cannot overflow. */
  private static final Duration DURATION_LIMIT = Duration.ofDays(366);

  private ReceivedNumbers() {}

  static Duration duration(long milliseconds) {
    if (milliseconds < 0 || milliseconds > DURATION_LIMIT.toMillis()) {
      throw new IllegalArgumentException("a duration is not between 0 and " + DURATION_LIMIT);
    }
    return Duration.ofMillis(milliseconds);
  }

  static long units(long value) {
    if (value < 0) {
      throw new IllegalArgumentException("a number of units is negative");
    }
    return value;
  }

  static double amount(double value) {
    if (!(value >= 0 && value < Double.MAX_VALUE)) {
      throw new IllegalArgumentException("an amount is negative or not a number");
    }
    return value;
  }
}
