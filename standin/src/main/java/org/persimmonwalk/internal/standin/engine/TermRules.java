package org.persimmonwalk.internal.standin.engine;

import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.ServerRole;
import org.persimmonwalk.model.Term;

/** Decides on fences, promotions and changes of the followed primary. */
final class TermRules {

  private TermRules() {}

  /**
   * Promises a term to a host. A primary refuses, since its log may hold a tail that no promotion
   * may use.
   */
  static boolean fence(ServerState server, Term term, String host) {
    boolean repeated = term.equals(server.promisedTerm) && host.equals(server.promisedHost);
    if (server.isPrimary() || !(term.isAfter(server.promisedTerm) || repeated)) {
      return false;
    }
    server.promisedTerm = term;
    server.promisedHost = host;
    if (server.followed == null || term.isAfter(server.followedTerm)) {
      server.role = ServerRole.FENCED;
      server.followed = null;
      server.connected = false;
    }
    return true;
  }

  /** Makes a server that is fenced for the term and the host the primary of that term. */
  static boolean promote(ServerState server, Term term, String host) {
    boolean promised = term.equals(server.promisedTerm) && host.equals(server.promisedHost);
    if (server.isPrimary()) {
      return promised && term.equals(server.logTerm);
    }
    if (!promised || server.role != ServerRole.FENCED || server.followed != null) {
      return false;
    }
    server.role = ServerRole.PRIMARY;
    server.logTerm = term;
    server.promotedAt = server.received();
    return true;
  }

  /** Makes a server receive the log of the primary of the term. */
  static boolean follow(ServerState server, Term term, BackendServerId primary) {
    if (primary.equals(server.id) || server.promisedTerm.isAfter(term)) {
      return false;
    }
    if (server.isPrimary() && !term.isAfter(server.logTerm)) {
      return false;
    }
    if (primary.equals(server.followed) && term.equals(server.followedTerm)) {
      return true;
    }
    if (term.isAfter(server.promisedTerm)) {
      server.promisedTerm = term;
      server.promisedHost = "";
    }
    if (server.isPrimary()) {
      server.sessions.stream().filter(Session::inTransaction).forEach(Session::terminate);
    }
    server.role = ServerRole.FENCED;
    server.followed = primary;
    server.followedTerm = term;
    server.connected = false;
    return true;
  }
}
