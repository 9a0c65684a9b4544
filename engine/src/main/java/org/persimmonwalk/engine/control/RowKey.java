package org.persimmonwalk.engine.control;

/** Names a row of the platform's store. */
public record RowKey(String table, String key) {

  /** The row in which operators keep the configuration; the adapter knows its name. */
  public static final RowKey CONFIGURATION = new RowKey("", "configuration");

  /** Returns the key of a row. */
  public static RowKey of(String table, String key) {
    return new RowKey(table, key);
  }
}
