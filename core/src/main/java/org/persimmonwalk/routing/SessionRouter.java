package org.persimmonwalk.routing;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.model.ConfirmedPosition;
import org.persimmonwalk.model.GroupView;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ServerRole;
import org.persimmonwalk.model.ServerView;
import org.persimmonwalk.result.ResultCode;

/**
 * Sends writes to the primary, and reads to a replica that has replayed the session's minimum
 * position and whose data is not older than the caller accepts. If no replica qualifies, the
 * primary runs the read.
 */
public final class SessionRouter implements RequestRouter {
  /**
   * A primary that no replica has confirmed for this long may be isolated. A write that it accepted
   * could not be acknowledged.
   */
  private static final Duration MAXIMUM_CONFIRMATION_AGE = Duration.ofSeconds(1);

  private final ServerLoad load;

  private SessionRouter(ServerLoad load) {
    this.load = load;
  }

  /** Returns a router that prefers servers in its own zone, then less loaded ones. */
  public static SessionRouter of(ServerLoad load) {
    return new SessionRouter(load);
  }

  @Override
  public RoutingDecision route(Snapshot snapshot, RoutingRequest request, MonotonicTime now) {
    GroupView group = snapshot.get(Entries.GROUPS).get(request.group());
    if (group == null) {
      return new RoutingDecision.Refuse(ResultCode.GROUP_NOT_ALLOWED);
    }
    return request.kind() == StatementKind.WRITE
        ? routeWrite(group, request, now)
        : routeRead(group, request);
  }

  private static RoutingDecision routeWrite(
      GroupView group, RoutingRequest request, MonotonicTime now) {
    Optional<ServerView> primary = group.primaryView();
    if (primary.isEmpty() || primary.get().server().leaving()) {
      return new RoutingDecision.Await(ResultCode.NO_PRIMARY);
    }
    if (!isConfirmedSince(group, now.minus(MAXIMUM_CONFIRMATION_AGE))) {
      return new RoutingDecision.Await(ResultCode.PRIMARY_UNCONFIRMED);
    }
    return new RoutingDecision.Execute(
        primary.get().server(), group.term(), request.minimumPosition(), RoutingReason.WRITE);
  }

  private RoutingDecision routeRead(GroupView group, RoutingRequest request) {
    Optional<MinimumPosition> minimumPosition =
        resolveMinimumPosition(group, request.minimumPosition());
    if (minimumPosition.isEmpty()) {
      return new RoutingDecision.Await(ResultCode.POSITION_UNKNOWN);
    }
    Duration maximumAge = request.maximumAge().orElse(group.defaultMaximumAge());
    MonotonicTime oldestData = request.arrivedAt().minus(maximumAge);
    Optional<ServerView> replica =
        group.servers().stream()
            .filter(view -> canServe(group, view, minimumPosition.get(), oldestData))
            .min(byZoneAndLoad(request.zone()));
    if (replica.isPresent()) {
      ServerView chosen = replica.get();
      return new RoutingDecision.Execute(
          chosen.server(), group.term(), minimumPosition.get(), reason(chosen, request.zone()));
    }
    return routeReadToPrimary(group, minimumPosition.get(), oldestData);
  }

  private static RoutingDecision routeReadToPrimary(
      GroupView group, MinimumPosition minimumPosition, MonotonicTime oldestData) {
    Optional<ServerView> primary = group.primaryView();
    if (primary.isEmpty() || primary.get().server().leaving()) {
      return new RoutingDecision.Await(ResultCode.NO_PRIMARY);
    }
    if (isFromLaterTerm(group, minimumPosition) || !isConfirmedSince(group, oldestData)) {
      return new RoutingDecision.Await(ResultCode.NO_SERVER_WITHIN_AGE);
    }
    return new RoutingDecision.Execute(
        primary.get().server(), group.term(), minimumPosition, RoutingReason.REPLICAS_BEHIND);
  }

  /**
   * Replaces an unknown minimum position by a confirmed position; empty if no sample has confirmed
   * a position since the session was declared.
   */
  private static Optional<MinimumPosition> resolveMinimumPosition(
      GroupView group, MinimumPosition minimumPosition) {
    if (!(minimumPosition instanceof MinimumPosition.Unknown unknown)) {
      return Optional.of(minimumPosition);
    }
    return group.confirmed().stream()
        .filter(confirmed -> !confirmed.startedAt().isBefore(unknown.declaredAt()))
        .findFirst()
        .map(confirmed -> MinimumPosition.known(confirmed.position()));
  }

  private static boolean canServe(
      GroupView group, ServerView view, MinimumPosition minimumPosition, MonotonicTime oldestData) {
    return !view.server().leaving()
        && view.failingSince().isEmpty()
        && view.hasRole(ServerRole.REPLICA, group.term())
        && hasReplayed(group, view, minimumPosition)
        && hasDataSince(group, view, oldestData);
  }

  private static boolean hasReplayed(
      GroupView group, ServerView view, MinimumPosition minimumPosition) {
    if (minimumPosition instanceof MinimumPosition.Known known) {
      return !isFromLaterTerm(group, minimumPosition)
          && view.sample().get().replayed().covers(known.position().position());
    }
    return true;
  }

  /** Returns whether the minimum position has a later term than this host has seen. */
  private static boolean isFromLaterTerm(GroupView group, MinimumPosition minimumPosition) {
    return minimumPosition instanceof MinimumPosition.Known known
        && known.position().term().isAfter(group.term());
  }

  /** Returns whether the server has replayed every write acknowledged before the given time. */
  private static boolean hasDataSince(GroupView group, ServerView view, MonotonicTime since) {
    return group.confirmed().stream()
        .filter(confirmed -> !confirmed.startedAt().isBefore(since))
        .anyMatch(confirmed -> covers(view, confirmed));
  }

  private static boolean covers(ServerView view, ConfirmedPosition confirmed) {
    return view.sample().get().replayed().covers(confirmed.position().position());
  }

  private static boolean isConfirmedSince(GroupView group, MonotonicTime since) {
    return group
        .newestConfirmed()
        .filter(confirmed -> !confirmed.startedAt().isBefore(since))
        .isPresent();
  }

  private Comparator<ServerView> byZoneAndLoad(AvailabilityZone zone) {
    return Comparator.<ServerView>comparingInt(view -> view.server().zone().equals(zone) ? 0 : 1)
        .thenComparingInt(view -> load.outstanding(view.server().id()));
  }

  private static RoutingReason reason(ServerView chosen, AvailabilityZone zone) {
    return chosen.server().zone().equals(zone)
        ? RoutingReason.REPLICA_IN_ZONE
        : RoutingReason.REPLICA_IN_OTHER_ZONE;
  }
}
