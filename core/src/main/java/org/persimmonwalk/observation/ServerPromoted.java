package org.persimmonwalk.observation;

import java.util.Objects;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.Term;

/** A backend server was promoted and is now the primary of the term. */
public record ServerPromoted(BackendServerId server, Term term) implements Observation {

  /** Checks that both parts are present. */
  public ServerPromoted {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(term, "term");
  }
}
