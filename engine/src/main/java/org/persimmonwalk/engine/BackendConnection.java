package org.persimmonwalk.engine;

/** An open connection to a backend server; answers come in the order of the statements. */
public interface BackendConnection {

  /** Sends a statement. */
  void send(BackendStatement statement);

  /** Closes the connection; the listener is not told. */
  void close();
}
