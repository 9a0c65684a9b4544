package org.persimmonwalk.internal.engine.traffic;

import java.util.Optional;
import java.util.function.Consumer;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.control.EngineEntries;

/**
 * Decides whether a session may start an operation. Checks that the route exists, that the key is
 * valid and was verified recently, and that the workspace is within its rate limit.
 */
final class SessionAdmission {
  private final TrafficContext context;
  private final ServerPools pools;
  private final RateLimiter rateLimiter;

  SessionAdmission(TrafficContext context, ServerPools pools, RateLimiter rateLimiter) {
    this.context = context;
    this.pools = pools;
    this.rateLimiter = rateLimiter;
  }

  /**
   * Runs the action with the current route once the operation is admitted, or answers the statement
   * with the refusal.
   */
  void admit(Session session, RequestId id, Arrival arrival, Consumer<Route> admitted) {
    Optional<Refusal> refusal = check(session);
    if (refusal.isPresent()) {
      refuse(session, id, refusal.get());
      return;
    }
    Route route = context.entry(EngineEntries.CONFIGURATION).routes().get(session.database());
    RemainingTime remaining =
        pools.remainingTime(route, arrival.deadline(route.statementTimeout()));
    if (!remaining.sufficesForStatement()) {
      context.meter().count("operation.too-late");
      refuse(session, id, overloaded(RemainingTime.TOO_LATE.detail()));
      return;
    }
    if (route.open() && session.identity().key().isEmpty()) {
      admitted.accept(route);
      return;
    }
    rateLimiter.admit(
        session.workspace(),
        remaining.tokenWait(route),
        decision -> {
          switch (decision) {
            case ADMITTED -> admitted.accept(route);
            case OVER_LIMIT ->
                refuse(session, id, overloaded("the workspace is over its rate; not run"));
            default ->
                refuse(
                    session,
                    id,
                    overloaded("this host has no rate tokens for the workspace; not run"));
          }
        });
  }

  static Refusal overloaded(String detail) {
    return new Refusal(FailureCode.OVERLOADED, detail);
  }

  /** Returns why the session may not run anything now, apart from its rate; empty if it may. */
  Optional<Refusal> check(Session session) {
    RoutingConfiguration configuration = context.entry(EngineEntries.CONFIGURATION);
    Route route = configuration.routes().get(session.database());
    if (route == null) {
      return Optional.of(
          new Refusal(
              FailureCode.UNKNOWN_DATABASE,
              "no route for database "
                  + session.database()
                  + " in configuration version "
                  + configuration.version()));
    }
    CallerIdentity identity = session.identity();
    if (route.open() && identity.key().isEmpty()) {
      return Optional.empty();
    }
    if (!identity.hasValidKey(configuration)) {
      return Optional.of(
          new Refusal(
              FailureCode.KEY_REJECTED,
              "the key is not valid in configuration version " + configuration.version()));
    }
    if (!context.keysAreVerified()) {
      return Optional.of(
          overloaded("this host cannot verify keys at present; connect to another host; not run"));
    }
    return Optional.empty();
  }

  private void refuse(Session session, RequestId id, Refusal refusal) {
    logRefusal(session, id, refusal);
    session.fail(refusal.code(), refusal.detail());
  }

  /** Logs and counts an operation that is refused as not run. */
  void logRefusal(Session session, RequestId id, Refusal refusal) {
    context.meter().count("operation.refused." + refusal.code());
    context
        .log()
        .write(
            "operation-refused",
            "request",
            id,
            "workspace",
            session.workspace(),
            "code",
            refusal.code(),
            "version",
            context.entry(EngineEntries.CONFIGURATION).version(),
            "detail",
            refusal.detail());
  }

  record Refusal(FailureCode code, String detail) {}
}
