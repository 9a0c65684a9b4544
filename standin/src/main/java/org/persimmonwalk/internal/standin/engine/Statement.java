package org.persimmonwalk.internal.standin.engine;

import java.util.List;

/** A parsed SQL statement. */
public sealed interface Statement {

  /** Returns whether the statement reads or writes a table, and so needs an execution slot. */
  default boolean usesSlot() {
    return false;
  }

  /** A column and the value that it is set to, or has to equal. */
  record ColumnValue(String column, Operand operand) {}

  /** Creates a table; the first column is the primary key. */
  record CreateTable(String table, List<String> columns) implements Statement {
    @Override
    public boolean usesSlot() {
      return true;
    }
  }

  /** Inserts one row. */
  record Insert(String table, List<ColumnValue> values) implements Statement {
    @Override
    public boolean usesSlot() {
      return true;
    }
  }

  /** Changes the rows that meet all conditions. */
  record Update(String table, List<ColumnValue> assignments, List<ColumnValue> conditions)
      implements Statement {
    @Override
    public boolean usesSlot() {
      return true;
    }
  }

  /** Deletes the rows that meet all conditions. */
  record Delete(String table, List<ColumnValue> conditions) implements Statement {
    @Override
    public boolean usesSlot() {
      return true;
    }
  }

  /**
   * Reads a table.
   *
   * @param columns the columns, empty for all
   * @param count whether only the number of rows is requested
   * @param locking whether the statement ends with {@code FOR UPDATE} or similar
   */
  record Select(
      String table,
      List<String> columns,
      boolean count,
      List<ColumnValue> conditions,
      boolean locking)
      implements Statement {
    @Override
    public boolean usesSlot() {
      return true;
    }
  }

  /** Returns one row of given values. */
  record SelectConstant(List<Operand> values) implements Statement {
    @Override
    public boolean usesSlot() {
      return true;
    }
  }

  /** Calls a function of the group, for example {@code persimmonwalk_sample()}. */
  record Call(String function, List<Operand> arguments) implements Statement {}

  /** Starts a transaction; the access mode is null if the session's default applies. */
  record Begin(Boolean readOnly) implements Statement {}

  /** Commits the transaction. */
  record Commit() implements Statement {}

  /** Rolls the transaction back. */
  record Rollback() implements Statement {}

  /** Sets a parameter of the session; a null value restores the default. */
  record SetParameter(String name, String value) implements Statement {}

  /** Shows a parameter of the session. */
  record Show(String name) implements Statement {}

  /** Restores the session's initial parameters and drops its prepared statements. */
  record DiscardAll() implements Statement {}

  /** Drops a prepared statement, or all of them if the name is null. */
  record Deallocate(String name) implements Statement {}

  /** An empty statement. */
  record Empty() implements Statement {}
}
