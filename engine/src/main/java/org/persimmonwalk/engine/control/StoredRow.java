package org.persimmonwalk.engine.control;

/**
 * The content of a row as last seen in the store.
 *
 * @param version rises with each change; 0 if the row doesn't exist
 */
public record StoredRow(long version, String value) {

  /** A row that does not exist. */
  public static final StoredRow ABSENT = new StoredRow(0, "");

  /** Returns whether the row exists. */
  public boolean exists() {
    return version > 0;
  }
}
