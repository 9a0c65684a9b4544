package org.persimmonwalk.model;

import java.util.Objects;

/** A position in the log of a database group, with the term in which it was written. */
public record GroupPosition(Term term, LogPosition position) implements Comparable<GroupPosition> {

  /** Checks that both parts are present. */
  public GroupPosition {
    Objects.requireNonNull(term, "term");
    Objects.requireNonNull(position, "position");
  }

  /** Returns the position in the given term. */
  public static GroupPosition of(Term term, LogPosition position) {
    return new GroupPosition(term, position);
  }

  /**
   * Reads the form that callers see, for example {@code 3:16/B374D848}.
   *
   * @throws IllegalArgumentException if the text is not in that form
   */
  public static GroupPosition parse(String text) {
    int colon = text.indexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException(
          "position '" + text + "' is not of the form term:X/X, such as 3:16/B374D848");
    }
    Term term = Term.of(Long.parseLong(text.substring(0, colon)));
    return new GroupPosition(term, LogPosition.parse(text.substring(colon + 1)));
  }

  /**
   * Returns the later of two positions. Acknowledged positions never decrease, even across terms.
   */
  public GroupPosition max(GroupPosition other) {
    return compareTo(other) >= 0 ? this : other;
  }

  @Override
  public int compareTo(GroupPosition other) {
    int byPosition = position.compareTo(other.position);
    return byPosition != 0 ? byPosition : term.compareTo(other.term);
  }

  @Override
  public String toString() {
    return term + ":" + position;
  }
}
