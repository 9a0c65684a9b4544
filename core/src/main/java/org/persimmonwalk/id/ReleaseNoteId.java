package org.persimmonwalk.id;

import org.persimmonwalk.internal.check.Names;

/** Identifies a release note; the operator's client chooses it. */
public record ReleaseNoteId(String value) implements Comparable<ReleaseNoteId> {

  /** Checks the text of the identifier. */
  public ReleaseNoteId {
    Names.check("release note", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @throws IllegalArgumentException if the text is not a valid identifier
   */
  public static ReleaseNoteId of(String value) {
    return new ReleaseNoteId(value);
  }

  @Override
  public int compareTo(ReleaseNoteId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
