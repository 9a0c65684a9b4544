package org.persimmonwalk.admission;

import java.time.Duration;

/**
 * How many statements this host keeps at one backend server. Implementations are not safe for use
 * by several threads; {@link ServerScheduler} guards them with its lock.
 */
public interface ConcurrencyLimit {

  /** Returns how many statements may be outstanding at once, at least 1. */
  int limit();

  /**
   * Returns the time from the start of a statement to the next start. It is above zero if even one
   * outstanding statement per host is too many.
   *
   * @param cost the expected service time of the statement that starts
   */
  Duration spacing(Duration cost);

  /**
   * Takes note of a statement that the server has answered.
   *
   * @param duration the time from start to answer
   * @param minimum the shortest time that statements of its class took recently
   * @param waiting whether other statements wait for this limit
   */
  void record(Duration duration, Duration minimum, boolean waiting);
}
