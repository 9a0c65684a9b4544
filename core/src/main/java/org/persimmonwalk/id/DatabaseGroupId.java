package org.persimmonwalk.id;

import org.persimmonwalk.internal.check.Names;

/** Identifies a group of backend servers that replicate one database. */
public record DatabaseGroupId(String value) implements Comparable<DatabaseGroupId> {

  /** Checks the text of the identifier. */
  public DatabaseGroupId {
    Names.check("database group", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @throws IllegalArgumentException if the text is not a valid identifier
   */
  public static DatabaseGroupId of(String value) {
    return new DatabaseGroupId(value);
  }

  @Override
  public int compareTo(DatabaseGroupId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
