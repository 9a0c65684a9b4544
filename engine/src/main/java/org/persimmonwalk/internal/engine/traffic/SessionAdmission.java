package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.control.EngineEntries;

/** Decides whether a session may start an operation: route, key, freshness and rate. */
final class SessionAdmission {
  /** The part of the latency target that an operation may wait for a token. */
  private static final int WAIT_DIVISOR = 2;

  /** Two calls to the store, one conflict included, mostly take less. */
  private static final Duration LEAST_WAIT = Duration.ofMillis(80);

  private final TrafficContext context;
  private final TokenPurse purse;

  SessionAdmission(TrafficContext context, TokenPurse purse) {
    this.context = context;
    this.purse = purse;
  }

  /** Runs the action with the route in force, or answers the statement with the refusal. */
  void admit(Session session, RequestId id, Consumer<Route> admitted) {
    Optional<Refusal> refusal = check(session);
    if (refusal.isPresent()) {
      refuse(session, id, refusal.get());
      return;
    }
    Route route = context.entry(EngineEntries.CONFIGURATION).routes().get(session.database());
    if (route.open() && session.identity().key().isEmpty()) {
      admitted.accept(route);
      return;
    }
    Duration wait = route.latencyTarget().dividedBy(WAIT_DIVISOR);
    purse.admit(
        session.workspace(),
        wait.compareTo(LEAST_WAIT) < 0 ? LEAST_WAIT : wait,
        decision -> {
          switch (decision) {
            case ADMITTED -> admitted.accept(route);
            case OVER_LIMIT ->
                refuse(session, id, overloaded("the workspace is over its rate; not run"));
            default -> refuse(session, id, overloaded("no share of the rate at hand; not run"));
          }
        });
  }

  private static Refusal overloaded(String detail) {
    return new Refusal(FailureCode.OVERLOADED, detail);
  }

  /** Returns why the session may not run anything now; empty if it may. */
  Optional<Refusal> check(Session session) {
    RoutingConfiguration configuration = context.entry(EngineEntries.CONFIGURATION);
    Route route = configuration.routes().get(session.database());
    if (route == null) {
      return Optional.of(
          new Refusal(
              FailureCode.UNKNOWN_DATABASE,
              "no route to " + session.database() + " in version " + configuration.version()));
    }
    Identity identity = session.identity();
    if (route.open() && identity.key().isEmpty()) {
      return Optional.empty();
    }
    boolean valid =
        identity
            .key()
            .map(configuration.keys()::get)
            .filter(identity.workspace()::equals)
            .isPresent();
    if (!valid) {
      return Optional.of(
          new Refusal(
              FailureCode.KEY_REJECTED,
              "the key is not valid in version " + configuration.version()));
    }
    if (!context.keysAreVerified()) {
      return Optional.of(
          overloaded("this host cannot verify keys at present; connect to another one; not run"));
    }
    return Optional.empty();
  }

  private void refuse(Session session, RequestId id, Refusal refusal) {
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
    session.fail(refusal.code(), refusal.detail());
  }

  record Refusal(FailureCode code, String detail) {}
}
