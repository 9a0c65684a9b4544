package org.persimmonwalk.internal.control.position;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Stream;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.GroupView;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ServerProbe;
import org.persimmonwalk.model.ServerView;
import org.persimmonwalk.model.SortedCopies;
import org.persimmonwalk.observation.ServerSampleFailed;
import org.persimmonwalk.observation.ServerSampled;

/**
 * Writes entry {@link Entries#GROUPS}: the newest sample of each backend server, and the primary
 * and confirmed positions of each group. A round updates only the groups with results of probes, or
 * all groups after a change of the configuration. It runs after {@link SamplingController}.
 */
public final class ReplicaPositionController implements Controller {
  private final Map<BackendServerId, DatabaseGroup> groupsByServer = new HashMap<>();
  private Map<DatabaseGroupId, DatabaseGroup> configured = Map.of();

  private ReplicaPositionController() {}

  /** Returns the controller. */
  public static ReplicaPositionController create() {
    return new ReplicaPositionController();
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    Map<DatabaseGroupId, DatabaseGroup> groups = blackboard.get(Entries.CONFIGURATION).groups();
    Map<DatabaseGroupId, GroupView> known = blackboard.get(Entries.GROUPS);
    boolean changed = groups != configured;
    if (changed) {
      applyConfiguration(groups);
    }
    Collection<DatabaseGroup> affected = changed ? groups.values() : groupsWithResults(blackboard);
    if (affected.isEmpty() && !changed) {
      return;
    }
    Map<BackendServerId, ServerView> servers = new HashMap<>();
    (changed ? known.values() : viewsOf(known, affected))
        .forEach(group -> group.servers().forEach(view -> putView(servers, view)));
    affected.forEach(group -> addServers(servers, group, context.now()));
    blackboard.observations(ServerSampled.class).forEach(sampled -> applySample(servers, sampled));
    blackboard
        .observations(ServerSampleFailed.class)
        .forEach(failed -> applyFailure(servers, failed));
    blackboard.get(Entries.PROBES).forEach((server, probe) -> applyExpiry(servers, server, probe));

    Map<DatabaseGroupId, GroupView> next = new HashMap<>(known);
    next.keySet().retainAll(groups.keySet());
    for (DatabaseGroup group : affected) {
      next.put(group.id(), GroupAssessment.of(group, known.get(group.id()), servers).assess());
    }
    // Sorted: controllers go through the groups and draw random delays for them.
    blackboard.put(Entries.GROUPS, SortedCopies.of(next));
  }

  private void applyConfiguration(Map<DatabaseGroupId, DatabaseGroup> groups) {
    configured = groups;
    groupsByServer.clear();
    for (DatabaseGroup group : groups.values()) {
      group.servers().forEach(server -> groupsByServer.put(server.id(), group));
    }
  }

  private Collection<DatabaseGroup> groupsWithResults(Blackboard blackboard) {
    Map<DatabaseGroupId, DatabaseGroup> groups = new HashMap<>();
    Stream<BackendServerId> expired =
        blackboard.get(Entries.PROBES).entrySet().stream()
            .filter(entry -> entry.getValue().state() == ServerProbe.State.EXPIRED)
            .map(Map.Entry::getKey);
    Stream<BackendServerId> answered =
        Stream.concat(
            blackboard.observations(ServerSampled.class).map(ServerSampled::server),
            blackboard.observations(ServerSampleFailed.class).map(ServerSampleFailed::server));
    Stream.concat(expired, answered)
        .map(groupsByServer::get)
        .filter(Objects::nonNull)
        .forEach(group -> groups.put(group.id(), group));
    return groups.values();
  }

  private static Collection<GroupView> viewsOf(
      Map<DatabaseGroupId, GroupView> known, Collection<DatabaseGroup> groups) {
    return groups.stream().map(group -> known.get(group.id())).filter(Objects::nonNull).toList();
  }

  private static void putView(Map<BackendServerId, ServerView> servers, ServerView view) {
    servers.put(view.server().id(), view);
  }

  private static void addServers(
      Map<BackendServerId, ServerView> servers, DatabaseGroup group, MonotonicTime now) {
    for (BackendServer server : group.servers()) {
      ServerView view = servers.get(server.id());
      putView(servers, view == null ? ServerView.unknown(server, now) : view.withServer(server));
    }
  }

  private static void applySample(Map<BackendServerId, ServerView> servers, ServerSampled sampled) {
    servers.computeIfPresent(
        sampled.server(), (id, view) -> view.withSample(sampled.sample(), sampled.startedAt()));
  }

  private static void applyFailure(
      Map<BackendServerId, ServerView> servers, ServerSampleFailed failed) {
    servers.computeIfPresent(failed.server(), (id, view) -> view.withFailure(failed.startedAt()));
  }

  /**
   * Counts a probe that timed out as failed, so that a server whose results are lost does not keep
   * looking healthy.
   */
  private static void applyExpiry(
      Map<BackendServerId, ServerView> servers, BackendServerId server, ServerProbe probe) {
    if (probe.state() == ServerProbe.State.EXPIRED) {
      servers.computeIfPresent(server, (id, view) -> view.withFailure(probe.startedAt()));
    }
  }
}
