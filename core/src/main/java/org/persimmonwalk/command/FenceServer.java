package org.persimmonwalk.command;

import java.util.Objects;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.Term;

/**
 * Fences a backend server: it promises the term to the host and stops being primary or replica in
 * any lower term. Idempotent for the same term and host.
 */
public record FenceServer(BackendServer server, Term term, EntryHostId host) implements Command {

  /** Checks that all parts are present. */
  public FenceServer {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(term, "term");
    Objects.requireNonNull(host, "host");
  }
}
