package org.persimmonwalk.internal.standin.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** An open transaction with its uncommitted changes, which other sessions do not see. */
final class Transaction {
  private final boolean readOnly;
  private final List<Change> changes = new ArrayList<>();
  private final Map<String, List<Change>> changesByTable = new HashMap<>();

  private Transaction(boolean readOnly) {
    this.readOnly = readOnly;
  }

  /** Returns a transaction without changes. */
  static Transaction create(boolean readOnly) {
    return new Transaction(readOnly);
  }

  /** Returns whether the transaction refuses writes. */
  boolean readOnly() {
    return readOnly;
  }

  /** Returns the changes in the order made. */
  List<Change> changes() {
    return changes;
  }

  /** Adds a change to the given table. */
  void add(String table, Change change) {
    changes.add(change);
    changesByTable.computeIfAbsent(table, name -> new ArrayList<>()).add(change);
  }

  /** Returns the table with the transaction's own changes applied, or null if it does not exist. */
  Table view(String name, Map<String, Table> committed) {
    Table table = committed.get(name);
    List<Change> own = changesByTable.get(name);
    if (own == null) {
      return table;
    }
    Map<String, Table> view = new HashMap<>();
    if (table != null) {
      view.put(name, table.copy());
    }
    own.forEach(change -> Table.apply(change, view));
    return view.get(name);
  }
}
