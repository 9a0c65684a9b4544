package org.persimmonwalk.engine.control;

import java.util.Optional;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.id.BackendServerId;

/** What a backend server answered; empty if it did not. */
public record ServerStatusRead(BackendServerId server, Optional<Status> status)
    implements Observation {

  /**
   * The state of a server.
   *
   * @param term the newest term that it knows
   * @param received the end of the log that it has received
   */
  public record Status(boolean primary, long term, TermPosition received) {}
}
