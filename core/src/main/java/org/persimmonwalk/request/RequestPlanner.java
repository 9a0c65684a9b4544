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
 * Takes a statement from its arrival to the decision where it runs. Every front end uses this
 * class; it knows no protocol.
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
   * Checks the key and takes the statement from the workspace's share. Call it once for each
   * statement.
   *
   * @return why the statement is refused, or nothing if it may run
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

  /** Returns why the caller may not use the workspace or the group, or nothing if it may. */
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

  /** Decides where an admitted statement runs; call it again with each snapshot while it awaits. */
  public RoutingDecision route(Snapshot snapshot, StatementRequest request, MonotonicTime now) {
    RoutingRequest routing =
        new RoutingRequest(
            request.group(),
            request.kind(),
            request.floor(),
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
