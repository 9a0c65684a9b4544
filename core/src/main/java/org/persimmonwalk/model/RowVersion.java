package org.persimmonwalk.model;

/** The version of a table row, which each write raises; 0 means that the row is absent. */
public record RowVersion(long number) implements Comparable<RowVersion> {

  /** The version of a row that is absent. */
  public static final RowVersion ABSENT = new RowVersion(0);

  /** Checks that the number is not negative. */
  public RowVersion {
    if (number < 0) {
      throw new IllegalArgumentException("row version " + number + " is negative");
    }
  }

  /** Returns the version with the given number. */
  public static RowVersion of(long number) {
    return new RowVersion(number);
  }

  @Override
  public int compareTo(RowVersion other) {
    return Long.compare(number, other.number);
  }
}
