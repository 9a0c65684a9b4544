package org.persimmonwalk.engine;

import java.util.Optional;

/** Receives the events of a backend connection, on the traffic thread. */
public interface BackendListener {

  /**
   * The server accepted the connection.
   *
   * @param position the position of the server's log, if it sent one
   */
  void opened(BackendConnection connection, Optional<TermPosition> position);

  /** The server refused the connection and closes it. */
  void refused(Failure failure);

  /** The server answered the oldest unanswered statement. */
  void answered(Answer answer);

  /** The connection was closed or could not be established. */
  void closed(String reason);

  /** The host closed the connection because its memory is spent; the server is not at fault. */
  default void shed(String reason) {
    closed(reason);
  }
}
