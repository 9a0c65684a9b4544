package org.persimmonwalk.observation;

import java.util.Objects;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.model.Term;

/**
 * A backend server was fenced: it has promised a term to this host.
 *
 * @param server the server
 * @param term the promised term
 * @param received the end of the server's log, with the term in which its last record was written
 */
public record ServerFenced(BackendServerId server, Term term, GroupPosition received)
    implements Observation {

  /** Checks that all parts are present. */
  public ServerFenced {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(term, "term");
    Objects.requireNonNull(received, "received");
  }
}
