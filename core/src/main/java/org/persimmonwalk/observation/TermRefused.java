package org.persimmonwalk.observation;

import java.util.Objects;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.Term;

/**
 * A backend server refused to be fenced, promoted or repointed in a term.
 *
 * @param server the server
 * @param term the term of the refused command
 * @param promised the term that the server has promised or is in
 */
public record TermRefused(BackendServerId server, Term term, Term promised) implements Observation {

  /** Checks that all parts are present. */
  public TermRefused {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(term, "term");
    Objects.requireNonNull(promised, "promised");
  }
}
