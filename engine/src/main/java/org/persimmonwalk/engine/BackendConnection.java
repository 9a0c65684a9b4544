package org.persimmonwalk.engine;

/**
 * A connection to a backend server, implemented by the front end and used on the traffic thread.
 * Statements may be pipelined; the server answers them in order.
 */
public interface BackendConnection extends KeptBytes {

  /** Sends a statement. */
  void send(BackendStatement statement);

  /**
   * Returns whether a message can carry the statement, which may have become longer than the
   * caller's by its position or by the name of a prepared statement.
   */
  default boolean canSend(BackendStatement statement) {
    return true;
  }

  @Override
  default boolean keep(long bytes) {
    return true;
  }

  @Override
  default void release(long bytes) {}

  /** Closes the connection without notifying the listener. */
  void close();
}
