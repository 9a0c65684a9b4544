package org.persimmonwalk.internal.engine.control;

import java.time.Duration;

/**
 * How long the replies of another host have taken lately: a moving average and the mean deviation
 * from it, as for the retransmission timer of TCP. Times include delays on both hosts, so they grow
 * while either is short of processor time.
 */
final class ReplyTimes {
  /** The part of a new measurement in the average; that of TCP. */
  private static final double AVERAGE_PART = 1.0 / 8;

  /** The part of a new measurement in the deviation; that of TCP. */
  private static final double DEVIATION_PART = 1.0 / 4;

  /** A reply that takes longer than the average and this many deviations is unusual. */
  private static final double DEVIATIONS = 4;

  private static final double NANOS_PER_MILLI = 1e6;

  private double average;
  private double deviation;
  private boolean isMeasured;

  /** Returns the average of the replies lately; zero if none was measured. */
  Duration average() {
    return Duration.ofMillis((long) average);
  }

  boolean isMeasured() {
    return isMeasured;
  }

  void record(Duration replyTime) {
    double millis = replyTime.toNanos() / NANOS_PER_MILLI;
    if (!isMeasured) {
      isMeasured = true;
      average = millis;
      deviation = millis / 2;
      return;
    }
    deviation += (Math.abs(millis - average) - deviation) * DEVIATION_PART;
    average += (millis - average) * AVERAGE_PART;
  }

  /** Returns the time within which a reply can be expected, limited to the given range. */
  Duration expected(Duration shortest, Duration longest) {
    double millis = average + DEVIATIONS * deviation;
    double limited = Math.max(shortest.toMillis(), Math.min(longest.toMillis(), millis));
    return Duration.ofMillis((long) Math.ceil(limited));
  }
}
