package org.persimmonwalk.internal.engine.control;

import java.time.Duration;

/**
 * What the bucket of a workspace holds, as far as the last write tells. Calls to the store that
 * cannot bring a token are left out: lenders of workspaces whose tokens were all held made several
 * a second.
 *
 * @param left the tokens left by the last write
 * @param perSecond the tokens added each second
 * @param room how many tokens the writing host may hold in total
 */
record BucketForecast(double left, double perSecond, double room) {
  /** The forecast of a host that has not written the row. */
  static final BucketForecast UNKNOWN = new BucketForecast(Double.MAX_VALUE, 0, Double.MAX_VALUE);

  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Returns whether a call would bring a token.
   *
   * @param held the tokens that the host holds
   * @param elapsed the time since the last write
   */
  boolean hasTokens(long held, Duration elapsed) {
    double filled = left + perSecond * elapsed.toNanos() / NANOS_PER_SECOND;
    return Math.min(filled, room - held) >= 1;
  }
}
