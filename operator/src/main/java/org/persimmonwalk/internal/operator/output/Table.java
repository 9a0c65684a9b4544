package org.persimmonwalk.internal.operator.output;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * An immutable table. A cell is a string, a number, a boolean, or null if the value is not known.
 *
 * @param columns the names of the columns
 * @param rows the cells of each row
 */
public record Table(List<String> columns, List<List<Object>> rows) {

  /** Copies the lists. */
  public Table {
    columns = List.copyOf(columns);
    rows = List.copyOf(rows);
  }

  /** Returns a table with the given columns and no rows. */
  public static Table of(String... columns) {
    return new Table(List.of(columns), List.of());
  }

  /**
   * Returns a copy with one more row.
   *
   * @throws IllegalArgumentException unless there is one cell for each column
   */
  public Table withRow(Object... cells) {
    if (cells.length != columns.size()) {
      throw new IllegalArgumentException(
          "a row needs " + columns.size() + " cells but has " + cells.length);
    }
    List<Object> row = new ArrayList<>();
    Collections.addAll(row, cells);
    List<List<Object>> extended = new ArrayList<>(rows);
    extended.add(Collections.unmodifiableList(row));
    return new Table(columns, extended);
  }
}
