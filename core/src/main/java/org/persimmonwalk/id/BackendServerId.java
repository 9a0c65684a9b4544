package org.persimmonwalk.id;

import org.persimmonwalk.internal.check.Names;

/** Identifies a backend server. */
public record BackendServerId(String value) implements Comparable<BackendServerId> {

  /** Checks that a line of text can carry the identifier as one field. */
  public BackendServerId {
    Names.checkField("backend server", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @throws IllegalArgumentException if the text is not a valid identifier
   */
  public static BackendServerId of(String value) {
    return new BackendServerId(Names.check("backend server", value));
  }

  /**
   * Returns the identifier with a name that another system has given, which need not be as short
   * and plain as those of {@link #of}.
   *
   * @throws IllegalArgumentException if the name is empty, contains a blank, CR, LF or NUL, or is
   *     not valid Unicode
   */
  public static BackendServerId ofExternal(String value) {
    return new BackendServerId(value);
  }

  @Override
  public int compareTo(BackendServerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }

  // Written out: a record's own methods are linked at run time (docs/design/processor-time.md).
  @Override
  public boolean equals(Object other) {
    return this == other || (other instanceof BackendServerId that && value.equals(that.value));
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
