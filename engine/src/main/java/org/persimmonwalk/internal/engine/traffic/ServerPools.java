package org.persimmonwalk.internal.engine.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.ServerUnreachable;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/** The connection pools of all backend servers, and the position history of each database group. */
final class ServerPools implements ServerPool.PoolListener {
  private final TrafficContext context;
  private final ColdServerGate coldServers;
  private final Map<BackendServerId, ServerPool> pools = new HashMap<>();
  private final List<ServerPool> retired = new ArrayList<>();
  private final Map<DatabaseGroupId, PositionHistory> histories = new HashMap<>();
  private final Map<DatabaseGroupId, KnownPrimary> primaries = new HashMap<>();
  private final DrainedZones drainedZones = new DrainedZones();
  private long connectionCount;

  ServerPools(TrafficContext context) {
    this.context = context;
    this.coldServers = new ColdServerGate(context);
  }

  ColdServerGate coldServers() {
    return coldServers;
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
    ServerPool created = new ServerPool(context, entry, this, coldServers);
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
    List<ServerChoice.Candidate> candidates = new ArrayList<>();
    List<ServerChoice.Candidate> coldCandidates = new ArrayList<>();
    for (ServerEntry entry : context.entry(EngineEntries.SERVERS).values()) {
      boolean isPrimary = primary.filter(entry::sameProcess).isPresent();
      boolean claimsPrimary = entry.primary() && !isPrimary;
      if (!entry.group().equals(group)
          || entry.draining()
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
      ServerPool pool = pool(entry);
      ServerHealth health = pool.health();
      (isCold ? coldCandidates : candidates)
          .add(
              new ServerChoice.Candidate(
                  pool,
                  !health.isUnreachable(now) && !health.isBackingOff(now),
                  isPrimary,
                  entry.zone().equals(context.settings().zone()),
                  pool.hasIdle(workspace),
                  health.isBehind(now),
                  health.latencyMillis(now),
                  pool.outstanding()));
    }
    boolean isAnyWarm = candidates.stream().anyMatch(ServerChoice.Candidate::usable);
    return isAnyWarm || coldCandidates.isEmpty() ? candidates : coldCandidates;
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
  public long nextConnectionNumber() {
    return ++connectionCount;
  }

  /**
   * Applies changed control state: retires the pools of servers that are gone and clears the
   * position history of groups whose primary changed.
   */
  void onSnapshotChanged() {
    Map<BackendServerId, ServerEntry> listed = context.entry(EngineEntries.SERVERS);
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

  /** Reports unresponsive servers to the control thread and closes idle connections. */
  void tick(MonotonicTime now) {
    // A request whose connection times out here may turn to a server that has no pool yet.
    for (ServerPool pool : List.copyOf(pools.values())) {
      pool.tick(now);
      boolean isCutOff = coldServers.isCutOff(pool.server(), now) && !pool.hasOpenConnection();
      if (pool.health().isUnreachable(now) || isCutOff) {
        context.post(new ServerUnreachable(pool.server()));
      }
    }
    List.copyOf(retired)
        .forEach(
            pool -> {
              pool.retire();
              pool.tick(now);
            });
    retired.removeIf(ServerPool::isEmpty);
    drainedZones.update(context, this::hasConnections);
  }

  /**
   * The last primary of a group that this host has known.
   *
   * @param since when the traffic thread heard that the server is the primary
   */
  private record KnownPrimary(ServerEntry server, MonotonicTime since) {}
}
