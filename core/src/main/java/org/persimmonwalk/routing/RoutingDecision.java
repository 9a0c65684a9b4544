package org.persimmonwalk.routing;

import java.util.Objects;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.Term;
import org.persimmonwalk.result.ResultCode;

/** Which server runs a statement, or why no server runs it yet. */
public sealed interface RoutingDecision {

  /**
   * The statement runs on the server.
   *
   * @param server the server that runs the statement
   * @param term the term that the server must be in
   * @param minimumPosition the session's minimum position, resolved if it was unknown
   * @param reason why this server was chosen
   */
  record Execute(
      BackendServer server, Term term, MinimumPosition minimumPosition, RoutingReason reason)
      implements RoutingDecision {
    /** Checks that all parts are present. */
    public Execute {
      Objects.requireNonNull(server, "server");
      Objects.requireNonNull(term, "term");
      Objects.requireNonNull(minimumPosition, "minimumPosition");
      Objects.requireNonNull(reason, "reason");
    }
  }

  /**
   * The statement waits for a newer sample of its group; route it again with the next snapshot.
   *
   * @param codeAtDeadline the code of the refusal if the statement's deadline passes first
   */
  record Await(ResultCode codeAtDeadline) implements RoutingDecision {
    /** Checks that the code is present. */
    public Await {
      Objects.requireNonNull(codeAtDeadline, "codeAtDeadline");
    }
  }

  /** The statement is refused; it has not run. */
  record Refuse(ResultCode code) implements RoutingDecision {
    /** Checks that the code is present. */
    public Refuse {
      Objects.requireNonNull(code, "code");
    }
  }
}
