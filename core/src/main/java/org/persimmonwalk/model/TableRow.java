package org.persimmonwalk.model;

import java.util.Objects;

/** Names a row of a table of the platform's table service. */
public record TableRow(String table, String row) {

  /** Checks that both parts are present. */
  public TableRow {
    Objects.requireNonNull(table, "table");
    Objects.requireNonNull(row, "row");
  }

  /** Returns the row with the given name in the given table. */
  public static TableRow of(String table, String row) {
    return new TableRow(table, row);
  }
}
