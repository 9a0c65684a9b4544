package org.persimmonwalk.engine;

import java.util.Optional;

/** The connection of a caller, as the engine sees it. */
public interface CallerConnection {

  /** Tells the caller that the session is open. */
  void ready(Optional<TermPosition> position);

  /** Refuses the session and closes the connection. */
  void refuse(Failure failure);

  /** Answers the oldest statement that has no answer yet. */
  void answer(Answer answer);

  /** Closes the connection after what was written. */
  void close();
}
