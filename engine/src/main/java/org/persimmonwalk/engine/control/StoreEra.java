package org.persimmonwalk.engine.control;

/**
 * How often the store has come back from an older copy of itself. What was written after the copy
 * is then lost, and the versions of rows are given out again.
 *
 * @param number rises by one with each return and may start at 0; -1 if the store doesn't tell it
 */
public record StoreEra(long number) implements Comparable<StoreEra> {
  /** The era of a store that doesn't tell it, and of a host that has heard from no store. */
  public static final StoreEra UNKNOWN = new StoreEra(-1);

  /** The earliest era that a store can tell. */
  public static final StoreEra FIRST = new StoreEra(0);

  /** The highest number: fencing tokens contain it and are sent as numbers of 53 bits. */
  public static final long MAXIMUM_NUMBER = (1L << 20) - 1;

  /**
   * Checks the number.
   *
   * @throws IllegalArgumentException if it is below -1 or above {@link #MAXIMUM_NUMBER}
   */
  public StoreEra {
    if (number < -1 || number > MAXIMUM_NUMBER) {
      throw new IllegalArgumentException("the store era " + number + " is out of range");
    }
  }

  /** Returns the era with the given number. */
  public static StoreEra of(long number) {
    return new StoreEra(number);
  }

  /** Returns whether the store has told the era. */
  public boolean isKnown() {
    return number >= 0;
  }

  /** Returns whether this era comes after the other one. */
  public boolean isAfter(StoreEra other) {
    return number > other.number;
  }

  @Override
  public int compareTo(StoreEra other) {
    return Long.compare(number, other.number);
  }

  @Override
  public String toString() {
    return Long.toString(number);
  }

  // Written out: a record's own methods are linked at run time (docs/design/processor-time.md).
  @Override
  public boolean equals(Object other) {
    return this == other || (other instanceof StoreEra that && number == that.number);
  }

  @Override
  public int hashCode() {
    return Long.hashCode(number);
  }
}
