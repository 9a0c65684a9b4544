package org.persimmonwalk.internal.operator.output;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Rows with the same columns. A cell is a text, a number, a truth value, or null if nothing is
 * known.
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

  /** Returns a table without rows. */
  public static Table of(String... columns) {
    return new Table(List.of(columns), List.of());
  }

  /** Returns the table with one more row. */
  public Table withRow(Object... cells) {
    if (cells.length != columns.size()) {
      throw new IllegalArgumentException("a row needs " + columns.size() + " cells");
    }
    List<Object> row = new ArrayList<>();
    Collections.addAll(row, cells);
    List<List<Object>> extended = new ArrayList<>(rows);
    extended.add(Collections.unmodifiableList(row));
    return new Table(columns, extended);
  }
}
