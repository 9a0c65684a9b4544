package org.persimmonwalk.engine;

import java.util.Optional;

/**
 * A statement as it is sent to a backend server.
 *
 * @param position the log position that the server must have reached; empty for any
 */
public record BackendStatement(RequestId id, Optional<TermPosition> position, Action action) {

  /** What the server does for the statement. */
  public sealed interface Action {}

  /** Runs the caller's text unchanged. */
  public record Text(String text) implements Action {}

  /** Begins a transaction. */
  public record Begin(boolean readOnly) implements Action {}

  /** Rolls back the transaction. */
  public record Rollback() implements Action {}

  /** Clears all session variables and prepared statements of the connection. */
  public record Reset() implements Action {}

  /** Sets a session variable. */
  public record SetVariable(String name, String value) implements Action {}

  /** Prepares a statement under a name of the connection. */
  public record Prepare(PreparedName name, StatementTemplate template) implements Action {}

  /**
   * Executes the statement that is prepared on the connection under the name.
   *
   * @param arguments what follows the name and a blank; empty without the blank
   */
  public record Execute(PreparedName name, Optional<String> arguments) implements Action {}

  /** Removes the statement that is prepared on the connection under the name. */
  public record Deallocate(PreparedName name) implements Action {}

  /** Requests the status of the server. */
  public record ReadStatus() implements Action {}

  /** Returns a statement that the entry host issues itself. */
  public static BackendStatement internal(Action action) {
    return new BackendStatement(RequestId.INTERNAL, Optional.empty(), action);
  }

  /** Returns a caller's statement. */
  public static BackendStatement of(RequestId id, Optional<TermPosition> position, Action action) {
    return new BackendStatement(id, position, action);
  }
}
