package org.persimmonwalk.engine.control;

/**
 * The version of a row. The store gives out the same numbers again in a later era, so a number
 * identifies a content only together with the era in which it was read.
 *
 * @param era the era in which the row was read or written
 * @param number rises with each change within an era; 0 if the row doesn't exist
 */
public record StoreVersion(StoreEra era, long number) implements Comparable<StoreVersion> {
  /** Returns the version with the given era and number. */
  public static StoreVersion of(StoreEra era, long number) {
    return new StoreVersion(era, number);
  }

  /** Returns the version of a row that doesn't exist, or hasn't been read, in the given era. */
  public static StoreVersion absent(StoreEra era) {
    return new StoreVersion(era, 0);
  }

  /** Returns whether a row with this version exists. */
  public boolean exists() {
    return number > 0;
  }

  @Override
  public int compareTo(StoreVersion other) {
    int byEra = era.compareTo(other.era);
    return byEra != 0 ? byEra : Long.compare(number, other.number);
  }

  @Override
  public String toString() {
    return era.isKnown() ? era + "/" + number : Long.toString(number);
  }

  // Written out: a record's own methods are linked at run time (docs/design/processor-time.md).
  @Override
  public boolean equals(Object other) {
    return this == other
        || (other instanceof StoreVersion that && era.equals(that.era) && number == that.number);
  }

  @Override
  public int hashCode() {
    return 31 * era.hashCode() + Long.hashCode(number);
  }
}
