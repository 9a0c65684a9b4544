package org.persimmonwalk.id;

import org.persimmonwalk.internal.check.Names;

/** Identifies an entry host process; a restarted process has a new identifier. */
public record EntryHostId(String value) implements Comparable<EntryHostId> {

  /** Checks the text of the identifier. */
  public EntryHostId {
    Names.check("entry host", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @throws IllegalArgumentException if the text is not a valid identifier
   */
  public static EntryHostId of(String value) {
    return new EntryHostId(value);
  }

  @Override
  public int compareTo(EntryHostId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
