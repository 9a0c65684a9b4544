package org.persimmonwalk.port;

import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;

/** A source of random numbers. */
public interface RandomSource {

  /** Returns a number from 0 (inclusive) to the bound (exclusive). */
  int nextInt(int bound);

  /** Returns a randomly seeded source that any thread may use. */
  static RandomSource system() {
    return bound -> ThreadLocalRandom.current().nextInt(bound);
  }

  /** Returns a source that gives the same numbers for the same seed; not thread-safe. */
  static RandomSource seeded(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    return random::nextInt;
  }
}
