package org.persimmonwalk.engine;

import java.util.Comparator;

/**
 * A position in the log of a database group, ordered by term and then by number.
 *
 * @param term the term of the primary that wrote the record
 * @param number the sequence number of the record
 */
public record TermPosition(long term, long number) implements Comparable<TermPosition> {

  /** The start of every log. */
  public static final TermPosition ZERO = new TermPosition(0, 0);

  private static final Comparator<TermPosition> ORDER =
      Comparator.comparingLong(TermPosition::term).thenComparingLong(TermPosition::number);

  /** Returns the position with the given term and number. */
  public static TermPosition of(long term, long number) {
    return new TermPosition(term, number);
  }

  /** Returns whether this position is at or after the other one. */
  public boolean covers(TermPosition other) {
    return compareTo(other) >= 0;
  }

  /** Returns the later of two positions. */
  public TermPosition max(TermPosition other) {
    return covers(other) ? this : other;
  }

  @Override
  public int compareTo(TermPosition other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return term + "." + number;
  }

  // Written out: a record's own methods are linked at run time (docs/design/processor-time.md).
  @Override
  public boolean equals(Object other) {
    return this == other
        || (other instanceof TermPosition that && term == that.term && number == that.number);
  }

  @Override
  public int hashCode() {
    return 31 * Long.hashCode(term) + Long.hashCode(number);
  }
}
