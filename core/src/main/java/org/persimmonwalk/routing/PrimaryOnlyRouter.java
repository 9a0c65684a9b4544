package org.persimmonwalk.routing;

import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.model.GroupView;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ServerView;
import org.persimmonwalk.result.ResultCode;

/** Sends every statement to the primary. Benchmarks use it as the baseline for other routers. */
public final class PrimaryOnlyRouter implements RequestRouter {

  private PrimaryOnlyRouter() {}

  /** Returns the router. */
  public static PrimaryOnlyRouter create() {
    return new PrimaryOnlyRouter();
  }

  @Override
  public RoutingDecision route(Snapshot snapshot, RoutingRequest request, MonotonicTime now) {
    GroupView group = snapshot.get(Entries.GROUPS).get(request.group());
    if (group == null || group.primaryView().isEmpty()) {
      return new RoutingDecision.Await(ResultCode.NO_PRIMARY);
    }
    ServerView primary = group.primaryView().get();
    return new RoutingDecision.Execute(
        primary.server(), group.term(), request.minimumPosition(), RoutingReason.PRIMARY_ONLY);
  }
}
