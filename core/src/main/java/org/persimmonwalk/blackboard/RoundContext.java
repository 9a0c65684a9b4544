package org.persimmonwalk.blackboard;

import java.util.Objects;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.port.RandomSource;

/** The time and the source of random numbers that controllers use in one round. */
public record RoundContext(MonotonicTime now, RandomSource random) {

  /** Checks that both parts are present. */
  public RoundContext {
    Objects.requireNonNull(now, "now");
    Objects.requireNonNull(random, "random");
  }

  /** Returns the context of a round at the given time. */
  public static RoundContext of(MonotonicTime now, RandomSource random) {
    return new RoundContext(now, random);
  }
}
