package org.persimmonwalk.engine.control;

/**
 * A row as the store last told it.
 *
 * @param version rises with each change; 0 if the row does not exist
 */
public record StoredRow(long version, String value) {

  /** A row that does not exist. */
  public static final StoredRow ABSENT = new StoredRow(0, "");

  /** Returns whether the row exists. */
  public boolean exists() {
    return version > 0;
  }
}
