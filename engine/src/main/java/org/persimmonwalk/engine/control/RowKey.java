package org.persimmonwalk.engine.control;

/** The table and key of a row in the platform's store. */
public record RowKey(String table, String key) {

  /** The row that holds the configuration; the store adapter knows its actual name. */
  public static final RowKey CONFIGURATION = new RowKey("", "configuration");

  /** Returns the key of a row. */
  public static RowKey of(String table, String key) {
    return new RowKey(table, key);
  }
}
