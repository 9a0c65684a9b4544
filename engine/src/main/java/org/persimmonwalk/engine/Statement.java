package org.persimmonwalk.engine;

/** A statement of a caller; the text of data statements is passed on unchanged. */
public sealed interface Statement {

  /** Opens a transaction. */
  record Begin(boolean readOnly) implements Statement {}

  /** Ends a transaction and keeps what it wrote. */
  record Commit(String text) implements Statement {}

  /** Ends a transaction and keeps nothing. */
  record Rollback() implements Statement {}

  /** Reads or writes data by its own text. */
  record Data(boolean write, String text) implements Statement {}

  /** Runs a prepared statement with the arguments that follow its name. */
  record Execute(String name, String arguments) implements Statement {}

  /** Gives a session value. */
  record SetValue(String name, String value) implements Statement {}

  /** Names a statement of the given shape. */
  record Prepare(String name, PreparedShape shape) implements Statement {}

  /** Forgets a prepared name. */
  record Deallocate(String name) implements Statement {}

  /** A text that is no statement. */
  record Unknown(String text) implements Statement {}
}
