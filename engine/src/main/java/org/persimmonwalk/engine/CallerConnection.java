package org.persimmonwalk.engine;

import java.util.Optional;

/**
 * The connection of a caller; implemented by the front end and called on the traffic thread. It
 * counts what its session keeps together with what waits in the connection.
 */
public interface CallerConnection extends KeptBytes {

  /** Tells the caller that the session is open. */
  void ready(Optional<TermPosition> position);

  /** Refuses the session and closes the connection. */
  void refuse(Failure failure);

  /** Answers the oldest statement that has no answer yet. */
  void answer(Answer answer);

  /**
   * Returns whether a further statement may run: the caller reads its answers. The front end calls
   * {@code Session.resume} when that becomes true.
   */
  boolean isWritable();

  /** Closes the connection after pending data is written. */
  void close();
}
