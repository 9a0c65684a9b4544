package org.persimmonwalk.admission;

import java.time.Duration;

/**
 * Limits how many statements this host has in flight at one backend server. Implementations are not
 * thread-safe; {@link ServerScheduler} calls them while it holds its lock.
 */
public interface ConcurrencyLimit {

  /** Returns how many statements may be in flight at once, at least 1. */
  int limit();

  /**
   * Returns the minimum time between the start of a statement and the next start. It is above zero
   * if even one statement in flight per host is too many for the server.
   *
   * @param cost the expected service time of the statement that starts
   */
  Duration spacing(Duration cost);

  /**
   * Records a statement that the server has answered.
   *
   * @param duration the time from start to answer
   * @param minimum the shortest time that statements of its class took recently
   * @param waiting whether other statements wait for this limit
   */
  void record(Duration duration, Duration minimum, boolean waiting);
}
