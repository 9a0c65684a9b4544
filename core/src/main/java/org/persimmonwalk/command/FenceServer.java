package org.persimmonwalk.command;

import java.util.Objects;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.Term;

/**
 * Asks a backend server to promise a term to a host and to stop as primary or replica of any lower
 * term. Idempotent for the same term and host.
 */
public record FenceServer(BackendServer server, Term term, EntryHostId host) implements Command {

  /** Checks that all parts are present. */
  public FenceServer {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(term, "term");
    Objects.requireNonNull(host, "host");
  }
}
