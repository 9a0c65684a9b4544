package org.persimmonwalk.engine.control;

import java.util.Optional;

/**
 * How well a host is suited to be the relay of its zone: 0 for a host with a tenth of a core or a
 * link of 5 Mbit/s, 100 for one with 1.5 cores and 100 Mbit/s. The scale is logarithmic, so that a
 * difference stands for a ratio. Memory does not count, because all hosts have a heap of one size.
 *
 * @param percent from 0 to 100
 */
public record HostStrength(int percent) {
  private static final int MAXIMUM = 100;
  private static final double LEAST_CORES = 0.1;
  private static final double MOST_CORES = 1.5;
  private static final double LEAST_LINK_MBPS = 5;
  private static final double MOST_LINK_MBPS = 100;

  /** A relay counts as much weaker with this many points less, about a third of the cores. */
  private static final int MUCH_WEAKER = 40;

  /** Checks the range. */
  public HostStrength {
    if (percent < 0 || percent > MAXIMUM) {
      throw new IllegalArgumentException("a strength must be from 0 to 100, not " + percent);
    }
  }

  /** Returns the strength of a host; what is scarcer decides. */
  public static HostStrength of(double cores, double linkMbps) {
    double scarcer =
        Math.min(
            part(cores, LEAST_CORES, MOST_CORES), part(linkMbps, LEAST_LINK_MBPS, MOST_LINK_MBPS));
    return new HostStrength((int) Math.round(scarcer * MAXIMUM));
  }

  /** Parses the text of a strength; empty if it is not a number from 0 to 100. */
  static Optional<HostStrength> parse(String text) {
    try {
      return Optional.of(new HostStrength(Integer.parseInt(text)));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /**
   * Returns whether another host is so much weaker that a change of the relay is worth its cost.
   */
  public boolean isMuchMoreThan(HostStrength other) {
    return percent - other.percent >= MUCH_WEAKER;
  }

  /** Returns how much of the full strength is missing, from 0 to 1. */
  public double missingPart() {
    return (double) (MAXIMUM - percent) / MAXIMUM;
  }

  private static double part(double value, double least, double most) {
    double limited = Math.max(least, Math.min(most, value));
    return Math.log(limited / least) / Math.log(most / least);
  }
}
