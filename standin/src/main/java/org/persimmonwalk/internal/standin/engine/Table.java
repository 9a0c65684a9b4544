package org.persimmonwalk.internal.standin.engine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A table whose first column is the primary key. */
final class Table {
  private final List<String> columns;
  private final Map<String, List<String>> rows = new LinkedHashMap<>();

  private Table(List<String> columns) {
    this.columns = columns;
  }

  /** Returns an empty table. */
  static Table of(List<String> columns) {
    return new Table(columns);
  }

  /** Returns a copy of the table with the same rows. */
  Table copy() {
    Table copy = new Table(columns);
    copy.rows.putAll(rows);
    return copy;
  }

  /** Returns the names of the columns. */
  List<String> columns() {
    return columns;
  }

  /** Returns the rows by primary key. */
  Map<String, List<String>> rows() {
    return rows;
  }

  /** Returns the index of a column; fails if the table has no such column. */
  int indexOf(String column) {
    int index = columns.indexOf(column);
    if (index < 0) {
      throw SqlException.of("42703", "column \"" + column + "\" does not exist");
    }
    return index;
  }

  /** Applies a change to the given tables: a server's, or a transaction's view of them. */
  static void apply(Change change, Map<String, Table> tables) {
    if (change instanceof Change.TableCreated created) {
      tables.put(created.table(), Table.of(created.columns()));
    } else if (change instanceof Change.RowPut put) {
      tables.get(put.table()).rows.put(put.key(), put.values());
    } else if (change instanceof Change.RowRemoved removed) {
      tables.get(removed.table()).rows.remove(removed.key());
    }
  }
}
