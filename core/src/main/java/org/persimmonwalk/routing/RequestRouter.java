package org.persimmonwalk.routing;

import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Decides where a statement runs. Implementations are safe for use by several threads.
 *
 * <p>Example:
 *
 * <pre>{@code
 * RoutingDecision decision = router.route(controlLoop.snapshot(), request, clock.now());
 * }</pre>
 */
public interface RequestRouter {

  /** Returns the decision for a statement, on the state of the given snapshot. */
  RoutingDecision route(Snapshot snapshot, RoutingRequest request, MonotonicTime now);
}
