package org.persimmonwalk.id;

import org.persimmonwalk.internal.check.Names;

/** Identifies an entry host process; a restarted process has a new identifier. */
public record EntryHostId(String value) implements Comparable<EntryHostId> {

  /** Checks that a line of text can carry the identifier as one field. */
  public EntryHostId {
    Names.checkField("entry host", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @throws IllegalArgumentException if the text is not a valid identifier
   */
  public static EntryHostId of(String value) {
    return new EntryHostId(Names.check("entry host", value));
  }

  /**
   * Returns the identifier with a name that another system has given, which need not be as short
   * and plain as those of {@link #of}.
   *
   * @throws IllegalArgumentException if the name is empty, contains a blank, CR, LF or NUL, or is
   *     not valid Unicode
   */
  public static EntryHostId ofExternal(String value) {
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

  // Written out: a record's own methods are linked at run time (docs/design/processor-time.md).
  @Override
  public boolean equals(Object other) {
    return this == other || (other instanceof EntryHostId that && value.equals(that.value));
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
