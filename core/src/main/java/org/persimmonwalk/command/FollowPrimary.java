package org.persimmonwalk.command;

import java.util.Objects;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.Term;

/**
 * Makes a backend server a replica of the primary of the given term and discards what its log has
 * beyond that primary's log. Idempotent.
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
