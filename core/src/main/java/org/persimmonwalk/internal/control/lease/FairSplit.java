package org.persimmonwalk.internal.control.lease;

/** Splits units between two hosts in proportion to their demand. */
public final class FairSplit {

  private FairSplit() {}

  /**
   * Returns the units that a host gives to one that asks, so that both then hold units in
   * proportion to their demand; 0 if the giver is no better off.
   */
  public static long unitsToGive(long held, double demand, long askingHeld, double askingDemand) {
    double sum = demand + askingDemand;
    if (!(sum > 0)) {
      return 0;
    }
    double units = (held * askingDemand - askingHeld * demand) / sum;
    return Math.max(0, (long) units);
  }
}
