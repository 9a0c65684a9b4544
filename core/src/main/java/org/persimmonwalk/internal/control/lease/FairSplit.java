package org.persimmonwalk.internal.control.lease;

/** Splits units between two hosts in proportion to their demand. */
public final class FairSplit {

  /** Measured demand varies by itself; smaller differences would move units back and forth. */
  private static final double SMALLEST_DIFFERENCE = 1.5;

  private FairSplit() {}

  /**
   * Returns the units that a host gives to one that asks, so that both then hold units in
   * proportion to their demand; 0 if the giver is not clearly better off.
   */
  public static long unitsToGive(long held, double demand, long askingHeld, double askingDemand) {
    double sum = demand + askingDemand;
    if (!(held * askingDemand > SMALLEST_DIFFERENCE * askingHeld * demand)) {
      return 0;
    }
    double units = (held * askingDemand - askingHeld * demand) / sum;
    return Math.max(0, (long) units);
  }
}
