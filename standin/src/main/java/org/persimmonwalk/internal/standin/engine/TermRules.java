package org.persimmonwalk.internal.standin.engine;

import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.ServerRole;
import org.persimmonwalk.model.Term;

/**
 * Decides whether a server accepts a fence, a promotion or a new primary to follow. A server
 * promises each term to at most one entry host.
 */
final class TermRules {

  private TermRules() {}

  /**
   * Promises a term to an entry host, after which the server accepts no records of lower terms. A
   * primary refuses: its log may end in records that no replica has received, and a promotion must
   * not build on them.
   */
  static boolean fence(ServerState server, Term term, String host) {
    boolean alreadyPromised = term.equals(server.promisedTerm) && host.equals(server.promisedHost);
    if (server.isPrimary() || !(term.isAfter(server.promisedTerm) || alreadyPromised)) {
      return false;
    }
    server.promisedTerm = term;
    server.promisedHost = host;
    if (server.followedPrimary == null || term.isAfter(server.followedTerm)) {
      server.role = ServerRole.FENCED;
      server.followedPrimary = null;
      server.connected = false;
    }
    return true;
  }

  /**
   * Makes the server the primary of the term, provided that it is fenced and has promised this term
   * to this host. Repeating an accepted promotion is accepted and changes nothing.
   */
  static boolean promote(ServerState server, Term term, String host) {
    boolean promised = term.equals(server.promisedTerm) && host.equals(server.promisedHost);
    if (server.isPrimary()) {
      return promised && term.equals(server.logTerm);
    }
    if (!promised || server.role != ServerRole.FENCED || server.followedPrimary != null) {
      return false;
    }
    server.role = ServerRole.PRIMARY;
    server.logTerm = term;
    server.promotionPosition = server.received();
    return true;
  }

  /**
   * Makes a server receive the log of the given term's primary. A primary that is demoted by this
   * terminates the sessions with open transactions.
   */
  static boolean follow(ServerState server, Term term, BackendServerId primary) {
    if (primary.equals(server.id) || server.promisedTerm.isAfter(term)) {
      return false;
    }
    if (server.isPrimary() && !term.isAfter(server.logTerm)) {
      return false;
    }
    if (primary.equals(server.followedPrimary) && term.equals(server.followedTerm)) {
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
    server.followedPrimary = primary;
    server.followedTerm = term;
    server.connected = false;
    return true;
  }
}
