package org.persimmonwalk.model;

import java.time.Duration;
import java.util.Optional;

/** Checks the ages that messages state. */
final class Ages {

  private Ages() {}

  static void check(Optional<Duration> age) {
    if (age.isPresent() && age.get().isNegative()) {
      throw new IllegalArgumentException("age " + age.get() + " is negative");
    }
  }
}
