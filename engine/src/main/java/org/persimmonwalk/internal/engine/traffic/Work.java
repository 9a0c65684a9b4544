package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.PreparedShape;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.WorkspaceId;

/**
 * What is to be run.
 *
 * @param needsPrimary whether only the primary may run it
 * @param writes whether it changes data that is kept at once
 * @param floor the newest commit of the session; {@link TermPosition#ZERO} if it need not be seen
 * @param values the session values that the connection must have
 * @param shape the prepared statement that the connection must know
 */
record Work(
    RequestId id,
    WorkspaceId workspace,
    Route route,
    BackendStatement.Action action,
    boolean needsPrimary,
    boolean writes,
    TermPosition floor,
    Map<String, String> values,
    Optional<PreparedShape> shape) {

  DatabaseGroupId group() {
    return route.group();
  }

  Duration latencyTarget() {
    return route.latencyTarget();
  }

  Duration timeout() {
    return route.statementTimeout();
  }

  Duration staleness() {
    return route.kind() == RouteKind.PRIMARY ? Duration.ZERO : route.maximumStaleness();
  }

  int priority() {
    return route.priority();
  }
}
