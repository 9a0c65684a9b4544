package org.persimmonwalk.testing;

/** Measures by how much the statements of a workspace exceed its rate and burst in any window. */
public final class RateWitness {
  private final double rate;
  private double level;
  private double highest;
  private long lastAt;
  private long admitted;

  /** Creates a witness for the given statements per second. */
  public RateWitness(double rate) {
    this.rate = rate;
  }

  /** Takes note of an admitted statement. */
  public void admitted(long nanoseconds) {
    level = Math.max(0, level - rate * (nanoseconds - lastAt) / 1e9) + 1;
    lastAt = nanoseconds;
    highest = Math.max(highest, level);
    admitted++;
  }

  /** Returns the most statements beyond rate times window over all windows until now. */
  public double highest() {
    return highest;
  }

  /** Returns the number of admitted statements. */
  public long admitted() {
    return admitted;
  }
}
