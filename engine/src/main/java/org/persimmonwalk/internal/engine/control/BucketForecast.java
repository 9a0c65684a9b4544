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

  /** Longer than any deadline; a rate of zero never adds a token. */
  private static final double LONGEST_SECONDS = 3600;

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

  /**
   * Returns for how long after the last write the bucket holds no token; zero if it holds one, or
   * if it is full of tokens that hosts still hold and may return at any time.
   */
  Duration emptyFor(long held) {
    if (left >= 1 || room - held < 1) {
      return Duration.ZERO;
    }
    double seconds = (1 - left) / perSecond;
    return seconds < LONGEST_SECONDS ? nanos(seconds) : nanos(LONGEST_SECONDS);
  }

  private static Duration nanos(double seconds) {
    return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
  }
}
