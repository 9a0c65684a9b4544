package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.WorkspaceId;

/**
 * A statement, or the start of a transaction, that is to run on a backend server.
 *
 * @param deadline when it must be answered, counted from the arrival of its operation
 * @param needsPrimary whether only the primary may run it
 * @param begins whether it starts a transaction that the caller has begun, so that it is not held
 * @param isStillAdmitted whether the caller's key still admits it, for a request that has waited
 * @param writes whether it changes data and commits at once
 * @param minimumPosition the position of the session's newest commit, which the server must have;
 *     {@link TermPosition#ZERO} for any position
 * @param variables the session variables to set on the connection first
 */
record ExecutionRequest(
    RequestId id,
    WorkspaceId workspace,
    Route route,
    OperationDeadline deadline,
    SessionStatement statement,
    boolean needsPrimary,
    boolean begins,
    BooleanSupplier isStillAdmitted,
    boolean writes,
    TermPosition minimumPosition,
    Map<String, String> variables) {
  /** A request may wait for a connection for the latency target divided by this. */
  private static final int WAIT_DIVISOR = 2;

  /** Returns the request that begins the transaction of a session on a server. */
  static ExecutionRequest ofBegin(
      Session session, Route route, boolean readOnly, OperationDeadline deadline) {
    return new ExecutionRequest(
        RequestId.INTERNAL,
        session.workspace(),
        route,
        deadline,
        SessionStatement.of(new BackendStatement.Begin(readOnly)),
        !readOnly || route.kind() == RouteKind.PRIMARY,
        true,
        session::isStillAdmitted,
        false,
        session.minimumPosition(route),
        Map.copyOf(session.variables()));
  }

  DatabaseGroupId group() {
    return route.group();
  }

  /** Returns how long the request may wait for a connection. */
  Duration connectionWait() {
    // Duration.dividedBy computes with decimal numbers, which takes long for each statement.
    return Duration.ofNanos(route.latencyTarget().toNanos() / WAIT_DIVISOR);
  }

  Duration staleness() {
    return route.kind() == RouteKind.PRIMARY ? Duration.ZERO : route.maximumStaleness();
  }

  int priority() {
    return route.priority();
  }
}
