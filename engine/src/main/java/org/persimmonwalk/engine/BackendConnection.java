package org.persimmonwalk.engine;

/**
 * A connection to a backend server, implemented by the front end and used on the traffic thread.
 * Statements may be pipelined; the server answers them in order.
 */
public interface BackendConnection {

  /** Sends a statement. */
  void send(BackendStatement statement);

  /** Closes the connection without notifying the listener. */
  void close();
}
