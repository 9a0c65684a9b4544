package org.persimmonwalk.id;

/** The number of an accepted configuration; it grows by one with each accepted release note. */
public record Revision(long number) implements Comparable<Revision> {

  /** The revision before the first accepted release note. */
  public static final Revision NONE = new Revision(0);

  /** Checks that the number is not negative. */
  public Revision {
    if (number < 0) {
      throw new IllegalArgumentException("revision " + number + " is negative");
    }
  }

  /**
   * Returns the revision with the given number.
   *
   * @throws IllegalArgumentException if the number is negative
   */
  public static Revision of(long number) {
    return new Revision(number);
  }

  /** Returns the revision that follows this one. */
  public Revision next() {
    return new Revision(number + 1);
  }

  /** Returns whether this revision is newer than the other one. */
  public boolean isNewerThan(Revision other) {
    return number > other.number;
  }

  @Override
  public int compareTo(Revision other) {
    return Long.compare(number, other.number);
  }

  @Override
  public String toString() {
    return Long.toString(number);
  }
}
