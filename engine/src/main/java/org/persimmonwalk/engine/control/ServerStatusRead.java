package org.persimmonwalk.engine.control;

import java.util.Optional;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.id.BackendServerId;

/** The answer of a backend server to {@link ReadServerStatus}; empty if it didn't answer. */
public record ServerStatusRead(BackendServerId server, Optional<Status> status)
    implements Observation {

  /**
   * The role and log position of a server.
   *
   * @param primary whether the server is the primary
   * @param term the newest term that the server knows
   * @param received the end of the log that the server has received
   */
  public record Status(boolean primary, long term, TermPosition received) {}
}
