package org.persimmonwalk.model;

import java.time.Duration;
import java.util.Optional;

/** Rejects durations in messages from peers that are negative or too long to calculate with. */
final class DurationLimits {
  /** Far above any real age, and short enough that arithmetic in nanoseconds cannot overflow. */
  private static final Duration LIMIT = Duration.ofDays(366);

  private DurationLimits() {}

  static void check(Optional<Duration> age) {
    age.ifPresent(DurationLimits::check);
  }

  static void check(Duration age) {
    if (age.isNegative() || age.compareTo(LIMIT) > 0) {
      throw new IllegalArgumentException("duration " + age + " is not between 0 and " + LIMIT);
    }
  }
}
