package org.persimmonwalk.id;

import org.persimmonwalk.internal.check.Names;

/** Identifies a transfer of units between entry hosts, so that it is applied once. */
public record TransferId(String value) implements Comparable<TransferId> {

  /** Checks the text of the identifier. */
  public TransferId {
    Names.check("transfer", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @throws IllegalArgumentException if the text is not a valid identifier
   */
  public static TransferId of(String value) {
    return new TransferId(value);
  }

  @Override
  public int compareTo(TransferId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
