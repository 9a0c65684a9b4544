package org.persimmonwalk.engine;

/**
 * The rate limit of a workspace, for all entry hosts together.
 *
 * @param perSecond operations per second
 * @param burst the number of operations allowed at once
 */
public record RateLimit(double perSecond, double burst) {

  /**
   * Higher than any fleet can serve. Larger values overflow when they are multiplied by the window
   * of the limit, and a workspace without a limit has the largest one.
   */
  private static final double MAXIMUM = 1e9;

  /** Caps the limit. */
  public RateLimit {
    perSecond = Math.min(perSecond, MAXIMUM);
    burst = Math.min(burst, MAXIMUM);
  }
}
