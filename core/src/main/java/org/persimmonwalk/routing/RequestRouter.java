package org.persimmonwalk.routing;

import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Decides which backend server runs a statement. Traffic threads call it, so implementations are
 * thread-safe.
 *
 * <p>Example:
 *
 * <pre>{@code
 * RoutingDecision decision = router.route(controlLoop.snapshot(), request, clock.now());
 * }</pre>
 */
public interface RequestRouter {

  /** Returns the decision for a statement, based on the given snapshot. */
  RoutingDecision route(Snapshot snapshot, RoutingRequest request, MonotonicTime now);
}
