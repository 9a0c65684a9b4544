package org.persimmonwalk.internal.standin.engine;

import java.util.List;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ServerRole;
import org.persimmonwalk.model.Term;

/** The SQL functions with which entry hosts monitor, fence, promote and redirect a server. */
final class GroupFunctions {
  private static final String SAMPLE = "persimmonwalk_sample";
  private static final String FENCE = "persimmonwalk_fence";
  private static final String PROMOTE = "persimmonwalk_promote";
  private static final String FOLLOW = "persimmonwalk_follow";

  private GroupFunctions() {}

  /** Returns the column names of a function's result. */
  static List<String> columns(String function) {
    return switch (function) {
      case SAMPLE -> List.of("role", "term", "received", "replayed", "primary_contact_age_ms");
      case FENCE -> List.of("accepted", "term", "received");
      case PROMOTE -> List.of("accepted", "term", "position");
      case FOLLOW -> List.of("accepted");
      default -> throw SqlException.of("42883", "function " + function + " does not exist");
    };
  }

  /** Calls a function on a server. */
  static Execution call(
      GroupState state,
      ServerState server,
      String function,
      List<String> arguments,
      MonotonicTime now) {
    List<String> columns = columns(function);
    int expected = function.equals(SAMPLE) ? 0 : 2;
    if (arguments.size() != expected || arguments.contains(null)) {
      throw SqlException.of("42883", function + " takes " + expected + " arguments, none null");
    }
    List<String> row =
        switch (function) {
          case SAMPLE -> sample(server, now);
          case FENCE -> fence(server, term(arguments.get(0)), arguments.get(1));
          case PROMOTE -> promote(server, term(arguments.get(0)), arguments.get(1));
          default -> follow(state, server, term(arguments.get(0)), arguments.get(1));
        };
    return Execution.Answer.ofRows(columns, List.of(row));
  }

  private static List<String> sample(ServerState server, MonotonicTime now) {
    Term term = server.role == ServerRole.FENCED ? server.promisedTerm : server.logTerm;
    long age = server.isPrimary() ? 0 : now.since(server.lastContact).toMillis();
    return List.of(
        server.role.name().toLowerCase(java.util.Locale.ROOT),
        term.toString(),
        server.received().toString(),
        server.replayed().toString(),
        Long.toString(age));
  }

  /**
   * Fences the server. An accepted fence reports the term of the server's last record: of two
   * fenced servers, the one with the higher such term is ahead, whatever their positions are. The
   * followed term would be wrong here, as it rises before the server has records of that term's
   * primary.
   */
  private static List<String> fence(ServerState server, Term term, String host) {
    boolean accepted = TermRules.fence(server, term, host);
    Term reported = accepted ? server.lastRecordTerm() : server.promisedTerm;
    return List.of(flag(accepted), reported.toString(), server.received().toString());
  }

  private static List<String> promote(ServerState server, Term term, String host) {
    boolean accepted = TermRules.promote(server, term, host);
    Term reported = accepted ? server.logTerm : server.promisedTerm;
    return List.of(flag(accepted), reported.toString(), server.promotionPosition.toString());
  }

  private static List<String> follow(
      GroupState state, ServerState server, Term term, String primary) {
    BackendServerId id = BackendServerId.of(primary);
    return List.of(flag(state.contains(id) && TermRules.follow(server, term, id)));
  }

  private static Term term(String text) {
    try {
      return Term.of(Long.parseLong(text));
    } catch (IllegalArgumentException invalid) {
      throw SqlException.of("22P02", "invalid input syntax for type bigint: \"" + text + "\"");
    }
  }

  private static String flag(boolean value) {
    return value ? "t" : "f";
  }
}
