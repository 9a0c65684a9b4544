package org.persimmonwalk.request;

import java.util.Optional;
import org.persimmonwalk.admission.AdmissionPolicy;
import org.persimmonwalk.admission.KeyVerifier;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.routing.RequestRouter;
import org.persimmonwalk.routing.RoutingDecision;
import org.persimmonwalk.routing.RoutingRequest;

/**
 * Checks the key, rate limit and database access of a statement and decides where it runs. Shared
 * by all front ends and independent of their protocols. Traffic threads call it; it is thread-safe.
 *
 * <p>Example:
 *
 * <pre>{@code
 * Optional<ResultCode> refusal = planner.admit(snapshot, request, clock.now());
 * RoutingDecision decision = planner.route(snapshot, request, clock.now());
 * }</pre>
 */
public final class RequestPlanner {
  private final AvailabilityZone zone;
  private final KeyVerifier keys;
  private final AdmissionPolicy admission;
  private final RequestRouter router;

  private RequestPlanner(
      AvailabilityZone zone, KeyVerifier keys, AdmissionPolicy admission, RequestRouter router) {
    this.zone = zone;
    this.keys = keys;
    this.admission = admission;
    this.router = router;
  }

  /** Returns a planner for an entry host in the given zone. */
  public static RequestPlanner of(
      AvailabilityZone zone, KeyVerifier keys, AdmissionPolicy admission, RequestRouter router) {
    return new RequestPlanner(zone, keys, admission, router);
  }

  /**
   * Checks access as {@link #verify} does and takes the statement from the workspace's rate limit.
   * Call it again for a statement only if it was refused.
   *
   * @return why the statement is refused; empty if it may run
   */
  public Optional<ResultCode> admit(
      Snapshot snapshot, StatementRequest request, MonotonicTime now) {
    Optional<ResultCode> refusal = verify(snapshot, request, now);
    if (refusal.isPresent()) {
      return refusal;
    }
    return admission.admit(snapshot, request.workspace(), now)
        ? Optional.empty()
        : Optional.of(ResultCode.RATE_EXCEEDED);
  }

  /** Returns why the caller may not use the workspace or the database group; empty if it may. */
  public Optional<ResultCode> verify(
      Snapshot snapshot, StatementRequest request, MonotonicTime now) {
    Optional<ResultCode> refusal = keys.verify(snapshot, request.workspace(), request.key(), now);
    if (refusal.isPresent()) {
      return refusal;
    }
    Optional<Workspace> workspace =
        snapshot.get(Entries.CONFIGURATION).workspace(request.workspace());
    boolean allowed = workspace.filter(w -> w.groups().contains(request.group())).isPresent();
    return allowed ? Optional.empty() : Optional.of(ResultCode.GROUP_NOT_ALLOWED);
  }

  /**
   * Decides where an admitted statement runs. While the decision is to wait, call it again with
   * each new snapshot; after the statement's deadline it returns a refusal.
   */
  public RoutingDecision route(Snapshot snapshot, StatementRequest request, MonotonicTime now) {
    RoutingRequest routing =
        new RoutingRequest(
            request.group(),
            request.kind(),
            request.minimumPosition(),
            request.maximumAge(),
            zone,
            request.arrivedAt());
    RoutingDecision decision = router.route(snapshot, routing, now);
    if (decision instanceof RoutingDecision.Await await && !now.isBefore(request.deadline())) {
      return new RoutingDecision.Refuse(await.codeAtDeadline());
    }
    return decision;
  }
}
