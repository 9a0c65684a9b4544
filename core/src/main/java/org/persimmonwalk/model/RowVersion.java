package org.persimmonwalk.model;

/**
 * The version of a table row, which increases with each write and is compared on a conditional
 * write.
 */
public record RowVersion(long number) implements Comparable<RowVersion> {

  /** The version of a row that does not exist. */
  public static final RowVersion ABSENT = new RowVersion(0);

  /** Checks that the number is not negative. */
  public RowVersion {
    if (number < 0) {
      throw new IllegalArgumentException("row version " + number + " is negative");
    }
  }

  /**
   * Returns the version with the given number.
   *
   * @throws IllegalArgumentException if the number is negative
   */
  public static RowVersion of(long number) {
    return new RowVersion(number);
  }

  @Override
  public int compareTo(RowVersion other) {
    return Long.compare(number, other.number);
  }

  @Override
  public String toString() {
    return Long.toString(number);
  }
}
