package org.persimmonwalk.internal.standin.engine;

import java.util.List;

/** One change of a table. */
sealed interface Change {

  /** Returns the size in the log, in bytes. */
  int logBytes();

  /** A new table. */
  record TableCreated(String table, List<String> columns) implements Change {
    @Override
    public int logBytes() {
      return HEADER_BYTES + table.length();
    }
  }

  /** A row that is new or has new values. */
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

  /** A row that is gone. */
  record RowRemoved(String table, String key) implements Change {
    @Override
    public int logBytes() {
      return HEADER_BYTES + table.length() + key.length();
    }
  }

  /** Room for the type, the lengths and the checksum of a change. */
  int HEADER_BYTES = 32;
}
