package org.persimmonwalk.command;

import java.util.Objects;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.Term;

/**
 * Makes a backend server that has promised the term to the host the primary of that term.
 * Idempotent.
 */
public record PromoteServer(BackendServer server, Term term, EntryHostId host) implements Command {

  /** Checks that all parts are present. */
  public PromoteServer {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(term, "term");
    Objects.requireNonNull(host, "host");
  }
}
