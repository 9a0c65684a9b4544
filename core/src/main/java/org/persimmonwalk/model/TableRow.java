package org.persimmonwalk.model;

import org.persimmonwalk.internal.check.Names;

/** The table and key of a row of the platform's table service. */
public record TableRow(String table, String row) {

  /** Checks that both parts are valid identifiers. */
  public TableRow {
    Names.check("table", table);
    Names.check("row", row);
  }

  /**
   * Returns the row with the given table and key.
   *
   * @throws IllegalArgumentException if a part is not a valid identifier
   */
  public static TableRow of(String table, String row) {
    return new TableRow(table, row);
  }

  @Override
  public String toString() {
    return table + "/" + row;
  }
}
