package org.persimmonwalk.engine;

import java.util.Optional;

/** A parsed statement of a caller. Data statements and COMMIT keep their text for the server. */
public sealed interface Statement {

  /** Begins a transaction. */
  record Begin(boolean readOnly) implements Statement {}

  /** Commits the transaction. */
  record Commit(String text) implements Statement {}

  /** Rolls back the transaction. */
  record Rollback() implements Statement {}

  /** Reads or writes data; the text is sent to the server unchanged. */
  record Data(boolean write, String text) implements Statement {}

  /**
   * Executes a prepared statement.
   *
   * @param arguments what follows the name and a blank, unchanged; empty without the blank
   */
  record Execute(String name, Optional<String> arguments) implements Statement {}

  /** Sets a session variable. */
  record SetVariable(String name, String value) implements Statement {}

  /** Prepares a statement under a name of the session. */
  record Prepare(String name, StatementTemplate template) implements Statement {}

  /** Removes a prepared statement. */
  record Deallocate(String name) implements Statement {}

  /** Text that is not a valid statement. */
  record Unknown(String text) implements Statement {}

  /**
   * Input that can't be divided into statements, so that the session ends.
   *
   * @param detail what the caller is told
   */
  record Invalid(String detail) implements Statement {}
}
