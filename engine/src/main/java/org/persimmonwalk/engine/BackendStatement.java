package org.persimmonwalk.engine;

import java.util.Optional;

/**
 * A statement as it is sent to a backend server.
 *
 * @param position the log position that the server must have; empty to accept any
 */
public record BackendStatement(RequestId id, Optional<TermPosition> position, Action action) {

  /** What the server is to do. */
  public sealed interface Action {}

  /** Passes a text on unchanged. */
  public record Text(String text) implements Action {}

  /** Opens a transaction. */
  public record Begin(boolean readOnly) implements Action {}

  /** Ends a transaction and keeps nothing. */
  public record Rollback() implements Action {}

  /** Drops all session values and prepared names. */
  public record Reset() implements Action {}

  /** Gives a session value. */
  public record SetValue(String name, String value) implements Action {}

  /** Prepares a shape under its shared name. */
  public record Prepare(PreparedShape shape) implements Action {}

  /** Runs a prepared shape. */
  public record Execute(PreparedShape shape, String arguments) implements Action {}

  /** Asks for the state of the server. */
  public record ReadStatus() implements Action {}

  /** Returns a statement that the entry host issues itself. */
  public static BackendStatement own(Action action) {
    return new BackendStatement(RequestId.OWN, Optional.empty(), action);
  }

  /** Returns a caller's statement. */
  public static BackendStatement of(RequestId id, Optional<TermPosition> position, Action action) {
    return new BackendStatement(id, position, action);
  }
}
