package org.persimmonwalk.internal.control.lease;

/** Splits units between two hosts in proportion to their demand. */
public final class FairSplit {

  /**
   * The giver must hold more units per demand than the requester by this factor. Measured demand
   * fluctuates, and a lower factor would move units back and forth.
   */
  private static final double MIN_SURPLUS_RATIO = 1.5;

  private FairSplit() {}

  /**
   * Returns the units that a host gives to a requesting host, so that both then hold units in
   * proportion to their demand; 0 if the giver does not hold clearly more units per demand.
   */
  public static long unitsToGive(
      long held, double demand, long requesterHeld, double requesterDemand) {
    double sum = demand + requesterDemand;
    if (!(held * requesterDemand > MIN_SURPLUS_RATIO * requesterHeld * demand)) {
      return 0;
    }
    double units = (held * requesterDemand - requesterHeld * demand) / sum;
    return Math.max(0, (long) units);
  }
}
