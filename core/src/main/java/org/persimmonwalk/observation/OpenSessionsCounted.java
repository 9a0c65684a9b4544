package org.persimmonwalk.observation;

import org.persimmonwalk.blackboard.Observation;

/** The number of caller sessions that are open at this host. */
public record OpenSessionsCounted(int count) implements Observation {

  /** Checks that the number is not negative. */
  public OpenSessionsCounted {
    if (count < 0) {
      throw new IllegalArgumentException("the number of open sessions is negative: " + count);
    }
  }
}
