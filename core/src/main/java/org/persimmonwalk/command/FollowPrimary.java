package org.persimmonwalk.command;

import java.util.Objects;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.Term;

/**
 * Makes a backend server a replica of the primary of the given term. The server discards log
 * records that the primary's log does not have. Idempotent.
 */
public record FollowPrimary(BackendServer server, Term term, BackendServer primary)
    implements Command {

  /** Checks that all parts are present. */
  public FollowPrimary {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(term, "term");
    Objects.requireNonNull(primary, "primary");
  }
}
