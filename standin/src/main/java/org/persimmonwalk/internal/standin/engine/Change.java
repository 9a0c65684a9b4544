package org.persimmonwalk.internal.standin.engine;

import java.util.List;

/** One change to a table, as it is kept in transactions and in the replication log. */
sealed interface Change {

  /** Returns the number of bytes by which the change advances the log position. */
  int logBytes();

  /** Creates a table. */
  record TableCreated(String table, List<String> columns) implements Change {
    @Override
    public int logBytes() {
      return HEADER_BYTES + table.length();
    }
  }

  /** Inserts a row or replaces its values. */
  record RowPut(String table, String key, List<String> values) implements Change {
    @Override
    public int logBytes() {
      int bytes = HEADER_BYTES + table.length();
      for (String value : values) {
        bytes += value == null ? 1 : value.length();
      }
      return bytes;
    }
  }

  /** Deletes a row. */
  record RowRemoved(String table, String key) implements Change {
    @Override
    public int logBytes() {
      return HEADER_BYTES + table.length() + key.length();
    }
  }

  /** The assumed size of the type, lengths and checksum that precede each change in the log. */
  int HEADER_BYTES = 32;
}
