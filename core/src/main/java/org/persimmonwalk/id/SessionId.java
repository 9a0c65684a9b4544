package org.persimmonwalk.id;

import org.persimmonwalk.internal.check.Names;

/** Identifies a session; the caller chooses it. */
public record SessionId(String value) implements Comparable<SessionId> {

  /** Checks the text of the identifier. */
  public SessionId {
    Names.check("session", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @throws IllegalArgumentException if the text is not a valid identifier
   */
  public static SessionId of(String value) {
    return new SessionId(value);
  }

  @Override
  public int compareTo(SessionId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
