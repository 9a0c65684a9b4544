package org.persimmonwalk.model;

import java.time.Duration;
import java.util.Optional;

/** Checks the durations that messages state. */
final class Ages {
  /** Far above any real age, and small enough that arithmetic with nanoseconds cannot overflow. */
  private static final Duration LIMIT = Duration.ofDays(366);

  private Ages() {}

  static void check(Optional<Duration> age) {
    age.ifPresent(Ages::check);
  }

  static void check(Duration age) {
    if (age.isNegative() || age.compareTo(LIMIT) > 0) {
      throw new IllegalArgumentException("duration " + age + " is not between 0 and " + LIMIT);
    }
  }
}
