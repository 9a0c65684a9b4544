package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.ServerLoad;
import org.persimmonwalk.engine.control.ServerUnreachable;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/** The connection pools of all backend servers, and the position history of each database group. */
final class ServerPools implements ServerPool.PoolListener {
  /** A server that fails all requests of the zone still gets a few, which tell when it recovers. */
  private static final double SMALLEST_SHARE = 0.1;

  private final TrafficContext context;
  private final ColdServerGate coldServers;
  private final UrgencyGate urgency;
  private final DeadlineTimers deadlines;
  private final RouteLatencies routeLatencies = new RouteLatencies();
  private final Map<BackendServerId, ServerPool> pools = new HashMap<>();
  private final List<ServerPool> retired = new ArrayList<>();
  private final Map<BackendServerId, ServerEjection> ejections = new HashMap<>();
  private final Map<DatabaseGroupId, PositionHistory> histories = new HashMap<>();
  private final Map<DatabaseGroupId, KnownPrimary> primaries = new HashMap<>();
  private final GroupServers groupServers;
  private final DrainedZones drainedZones = new DrainedZones();
  private final RetryBudget retryBudget = new RetryBudget();
  private final ServerChoice leastExpectedTime = new LeastExpectedTime();
  private final ServerChoice twoChoices;
  private final LoadReporter loadReporter;
  private long connectionCount;

  ServerPools(TrafficContext context) {
    this.context = context;
    this.coldServers = new ColdServerGate(context);
    this.deadlines = new DeadlineTimers(context);
    this.groupServers = new GroupServers(context);
    this.urgency = new UrgencyGate(context, groupServers);
    this.twoChoices = WeightedTwoChoices.create(context.random());
    this.loadReporter = new LoadReporter(context);
  }

  ColdServerGate coldServers() {
    return coldServers;
  }

  UrgencyGate urgency() {
    return urgency;
  }

  DeadlineTimers deadlines() {
    return deadlines;
  }

  /** Records how long a server took to answer a statement of the route with success. */
  void recordLatency(Route route, Duration latency) {
    routeLatencies.record(route, latency, context.now());
  }

  /** Records such an answer to a statement of a transaction. */
  void recordAnswer(PooledConnection used, Route route, Duration latency) {
    used.pool().load().recordAnswer(latency);
    recordLatency(route, latency);
  }

  /** Returns the time that an operation of the route has left. */
  RemainingTime remainingTime(Route route, OperationDeadline deadline) {
    return new RemainingTime(deadline.left(context), routeLatencies.usual(route, context.now()));
  }

  RetryBudget retryBudget() {
    return retryBudget;
  }

  /** Chooses the server for a read, except those given; empty if none can be used. */
  Optional<ServerChoice.Candidate> choose(
      DatabaseGroupId group, WorkspaceId workspace, Set<BackendServerId> except) {
    ServerChoice choice = isShared(group) ? twoChoices : leastExpectedTime;
    return choice.choose(candidates(group, workspace, except));
  }

  /**
   * Returns whether several hosts share each slot of the group's servers: the fleet is known to
   * have more hosts than these have slots together.
   */
  @Override
  public boolean isShared(DatabaseGroupId group) {
    return groupServers.areShared(group);
  }

  PositionHistory history(DatabaseGroupId group) {
    return histories.computeIfAbsent(group, unused -> new PositionHistory());
  }

  ServerPool pool(ServerEntry entry) {
    ServerPool pool = pools.get(entry.id());
    if (pool != null && pool.server().sameProcess(entry)) {
      return pool;
    }
    if (pool != null) {
      pool.close("the server was restarted");
    }
    // Survives a restart of the server, so that one that goes down and up stays out for longer.
    ServerEjection ejection =
        ejections.computeIfAbsent(entry.id(), id -> new ServerEjection(id, context.log()));
    ServerPool created = new ServerPool(context, entry, ejection, this, coldServers);
    pools.put(entry.id(), created);
    return created;
  }

  /**
   * Returns the servers that could serve a read of the group, except those given. Left out are
   * draining servers, those of evacuated zones and those that report to be the primary but are not
   * the verified one. Cold servers are left out too, unless no other one can be used and this host
   * may send to them.
   */
  List<ServerChoice.Candidate> candidates(
      DatabaseGroupId group, WorkspaceId workspace, Set<BackendServerId> except) {
    MonotonicTime now = context.now();
    Optional<ServerEntry> primary = context.primary(group);
    boolean isShared = isShared(group);
    List<ServerChoice.Candidate> candidates = new ArrayList<>();
    List<ServerChoice.Candidate> coldCandidates = new ArrayList<>();
    for (ServerEntry entry : groupServers.of(group)) {
      boolean isPrimary = primary.filter(entry::sameProcess).isPresent();
      boolean claimsPrimary = entry.primary() && !isPrimary;
      if (entry.draining()
          || claimsPrimary
          || context.isEvacuated(entry)
          || except.contains(entry.id())) {
        continue;
      }
      boolean isCold = coldServers.isCold(entry);
      if (isCold && !coldServers.maySend(entry)) {
        coldServers.recordKept(entry);
        continue;
      }
      (isCold ? coldCandidates : candidates)
          .add(candidate(entry, isPrimary, isShared, workspace, now));
    }
    boolean isAnyWarm = candidates.stream().anyMatch(ServerChoice.Candidate::usable);
    return isAnyWarm || coldCandidates.isEmpty() ? candidates : coldCandidates;
  }

  private ServerChoice.Candidate candidate(
      ServerEntry entry,
      boolean isPrimary,
      boolean isShared,
      WorkspaceId workspace,
      MonotonicTime now) {
    ServerPool pool = pool(entry);
    ServerHealth health = pool.health();
    boolean connected = pool.hasIdle(workspace);
    Duration backoffLeft = health.backoffLeft(now);
    boolean usable = !health.isUnreachable(now) && backoffLeft.isZero();
    double latencyMillis = health.latencyMillis(now);
    double outstandingElsewhere = 0;
    double reportedAnswers = 0;
    double share = 1;
    Duration ejectedFor = Duration.ZERO;
    if (isShared) {
      ServerEjection ejection = pool.ejection();
      ServerLoad load = context.entry(EngineEntries.ZONE_LOADS).usableAt(now).of(entry.id());
      // In backoff no connection is opened, but those that are there can be used.
      usable =
          !health.isUnreachable(now)
              && (connected || backoffLeft.isZero())
              && ejection.admits(pool.outstanding());
      latencyMillis = ZoneLatency.blend(latencyMillis, load.meanLatencyMillis(), load.answers());
      outstandingElsewhere = outstandingElsewhere(load, pool);
      reportedAnswers = load.answers();
      share = ejection.share() * Math.max(SMALLEST_SHARE, load.successRate());
      ejectedFor = ejection.left(now);
      if (ejectedFor.compareTo(backoffLeft) < 0) {
        ejectedFor = backoffLeft;
      }
    }
    return new ServerChoice.Candidate(
        pool,
        usable,
        isPrimary,
        entry.zone().equals(context.settings().zone()),
        connected,
        pool.hasSpareConnection(),
        health.isBehind(now),
        entry.slots(),
        latencyMillis,
        pool.outstanding(),
        outstandingElsewhere,
        reportedAnswers,
        share,
        ejectedFor);
  }

  /** Estimates the work of all other hosts: the other zones are taken to be like the own one. */
  private double outstandingElsewhere(ServerLoad load, ServerPool pool) {
    int zones = context.settings().zones().size();
    return Math.max(0, (double) load.outstanding() * zones - pool.outstanding());
  }

  /**
   * Records the position only if the server was the primary when the request was sent: a server
   * that answered before its promotion may have lacked acknowledged commits.
   */
  @Override
  public void positionSeen(ServerEntry server, TermPosition position, MonotonicTime sentAt) {
    boolean wasPrimary =
        Optional.ofNullable(primaries.get(server.group()))
            .filter(known -> known.server().sameProcess(server))
            .filter(known -> !sentAt.isBefore(known.since()))
            .isPresent();
    if (wasPrimary && context.isPrimary(server)) {
      history(server.group()).add(sentAt, position);
    }
  }

  @Override
  public void connectionOpened(ServerEntry server, Duration latency) {
    urgency.recordOpening(server, latency);
  }

  @Override
  public long nextConnectionNumber() {
    return ++connectionCount;
  }

  /**
   * Applies changed control state: retires the pools of servers that are gone and clears the
   * position history of groups whose primary changed.
   */
  void onSnapshotChanged() {
    Map<BackendServerId, ServerEntry> listed = context.entry(EngineEntries.SERVERS);
    MonotonicTime now = context.now();
    urgency.onSnapshotChanged();
    routeLatencies.retain(context.entry(EngineEntries.CONFIGURATION).routes().keySet());
    ejections
        .entrySet()
        .removeIf(known -> !listed.containsKey(known.getKey()) && known.getValue().isOver(now));
    pools
        .values()
        .removeIf(
            pool -> {
              ServerEntry entry = listed.get(pool.server().id());
              boolean isPrimary = context.isPrimary(pool.server());
              boolean kept = isPrimary || (entry != null && entry.sameProcess(pool.server()));
              if (!kept) {
                pool.retire();
                retired.add(pool);
              }
              return !kept;
            });
    context
        .entry(EngineEntries.PRIMARIES)
        .forEach((group, view) -> view.server().ifPresent(server -> setPrimary(group, server)));
    // A request that is refused here may turn to a server that has no pool yet.
    List.copyOf(pools.values()).forEach(ServerPool::leaveIfEvacuated);
  }

  private void setPrimary(DatabaseGroupId group, ServerEntry server) {
    KnownPrimary old = primaries.get(group);
    if (old == null || !old.server().sameProcess(server)) {
      history(group).clear();
      primaries.put(group, new KnownPrimary(server, context.now()));
    }
  }

  /** Returns whether this host has a connection to a server of the zone. */
  private boolean hasConnections(AvailabilityZone zone) {
    return Stream.concat(pools.values().stream(), retired.stream())
        .anyMatch(pool -> pool.server().zone().equals(zone) && !pool.isEmpty());
  }

  /**
   * Ends operations whose deadline passed during a suspension, reports unresponsive servers to the
   * control thread and closes idle connections.
   */
  void tick(MonotonicTime now) {
    deadlines.checkSuspension();
    // A request whose connection times out here may turn to a server that has no pool yet.
    for (ServerPool pool : List.copyOf(pools.values())) {
      pool.tick(now);
      boolean isCutOff = coldServers.isCutOff(pool.server(), now) && pool.oldestOpen().isEmpty();
      if (pool.health().isUnreachable(now) || isCutOff) {
        context.post(new ServerUnreachable(pool.server()));
      }
    }
    tickRetired(now);
    drainedZones.update(context, this::hasConnections);
    loadReporter.tick(pools.values(), now);
  }

  private void tickRetired(MonotonicTime now) {
    if (retired.isEmpty()) {
      return;
    }
    List.copyOf(retired)
        .forEach(
            pool -> {
              pool.retire();
              pool.tick(now);
            });
    retired.removeIf(ServerPool::isEmpty);
  }

  /**
   * The last primary of a group that this host has known.
   *
   * @param since when the traffic thread heard that the server is the primary
   */
  private record KnownPrimary(ServerEntry server, MonotonicTime since) {}
}
