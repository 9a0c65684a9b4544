package org.persimmonwalk.id;

import org.persimmonwalk.internal.check.Names;

/** Identifies a backend server. */
public record BackendServerId(String value) implements Comparable<BackendServerId> {

  /** Checks the text of the identifier. */
  public BackendServerId {
    Names.check("backend server", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @throws IllegalArgumentException if the text is not a valid identifier
   */
  public static BackendServerId of(String value) {
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
}
