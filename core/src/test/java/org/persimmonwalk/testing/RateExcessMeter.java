package org.persimmonwalk.testing;

/**
 * Measures by how much the admitted statements of a workspace exceed its rate. The excess in a time
 * window is the number of admitted statements less the rate times the length of the window. A
 * single token bucket would allow an excess of at most the burst.
 */
public final class RateExcessMeter {
  private final double rate;
  private double excess;
  private double largestExcess;
  private long lastAt;
  private long admitted;

  /** Creates a meter for a rate in statements per second. */
  public RateExcessMeter(double rate) {
    this.rate = rate;
  }

  /** Records a statement that was admitted at the given time. */
  public void recordAdmission(long nanoseconds) {
    excess = Math.max(0, excess - rate * (nanoseconds - lastAt) / 1e9) + 1;
    lastAt = nanoseconds;
    largestExcess = Math.max(largestExcess, excess);
    admitted++;
  }

  /** Returns the largest excess of all time windows so far. */
  public double largestExcess() {
    return largestExcess;
  }

  /** Returns the number of admitted statements. */
  public long admitted() {
    return admitted;
  }
}
