package org.persimmonwalk.id;

import org.persimmonwalk.internal.check.Names;

/** Identifies one grant of a share or an allowance to an entry host; a renewal has a new one. */
public record GrantId(String value) implements Comparable<GrantId> {

  /** Checks the text of the identifier. */
  public GrantId {
    Names.check("grant", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @throws IllegalArgumentException if the text is not a valid identifier
   */
  public static GrantId of(String value) {
    return new GrantId(value);
  }

  @Override
  public int compareTo(GrantId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
