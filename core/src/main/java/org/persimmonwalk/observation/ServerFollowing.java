package org.persimmonwalk.observation;

import java.util.Objects;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.Term;

/** A backend server accepted the command to follow the primary of the term. */
public record ServerFollowing(BackendServerId server, Term term) implements Observation {

  /** Checks that both parts are present. */
  public ServerFollowing {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(term, "term");
  }
}
