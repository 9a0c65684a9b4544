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
import org.persimmonwalk.observation.ServerSampleFailed;
import org.persimmonwalk.observation.ServerSampled;

/**
 * Keeps the newest sample of each backend server and the confirmed positions of each group. A round
 * assesses only the groups whose servers were sampled, and all of them after a change of the
 * configuration.
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
      configure(groups);
    }
    Collection<DatabaseGroup> touched = changed ? groups.values() : sampledGroups(blackboard);
    if (touched.isEmpty() && !changed) {
      return;
    }
    Map<BackendServerId, ServerView> servers = new HashMap<>();
    (changed ? known.values() : views(known, touched))
        .forEach(group -> group.servers().forEach(view -> put(servers, view)));
    touched.forEach(group -> configure(servers, group, context.now()));
    blackboard.observations(ServerSampled.class).forEach(sampled -> apply(servers, sampled));
    blackboard.observations(ServerSampleFailed.class).forEach(failed -> apply(servers, failed));
    blackboard.get(Entries.PROBES).forEach((server, probe) -> expire(servers, server, probe));

    Map<DatabaseGroupId, GroupView> next = new HashMap<>(known);
    next.keySet().retainAll(groups.keySet());
    for (DatabaseGroup group : touched) {
      next.put(group.id(), GroupAssessment.of(group, known.get(group.id()), servers).assess());
    }
    blackboard.put(Entries.GROUPS, Map.copyOf(next));
  }

  private void configure(Map<DatabaseGroupId, DatabaseGroup> groups) {
    configured = groups;
    groupsByServer.clear();
    for (DatabaseGroup group : groups.values()) {
      group.servers().forEach(server -> groupsByServer.put(server.id(), group));
    }
  }

  private Collection<DatabaseGroup> sampledGroups(Blackboard blackboard) {
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

  private static Collection<GroupView> views(
      Map<DatabaseGroupId, GroupView> known, Collection<DatabaseGroup> groups) {
    return groups.stream().map(group -> known.get(group.id())).filter(Objects::nonNull).toList();
  }

  private static void put(Map<BackendServerId, ServerView> servers, ServerView view) {
    servers.put(view.server().id(), view);
  }

  private static void configure(
      Map<BackendServerId, ServerView> servers, DatabaseGroup group, MonotonicTime now) {
    for (BackendServer server : group.servers()) {
      ServerView view = servers.get(server.id());
      put(servers, view == null ? ServerView.unknown(server, now) : view.withServer(server));
    }
  }

  private static void apply(Map<BackendServerId, ServerView> servers, ServerSampled sampled) {
    servers.computeIfPresent(
        sampled.server(), (id, view) -> view.withSample(sampled.sample(), sampled.startedAt()));
  }

  private static void apply(Map<BackendServerId, ServerView> servers, ServerSampleFailed failed) {
    servers.computeIfPresent(failed.server(), (id, view) -> view.withFailure(failed.startedAt()));
  }

  /** A probe without a result counts as failed, so that a lost result is not taken for health. */
  private static void expire(
      Map<BackendServerId, ServerView> servers, BackendServerId server, ServerProbe probe) {
    if (probe.state() == ServerProbe.State.EXPIRED) {
      servers.computeIfPresent(server, (id, view) -> view.withFailure(probe.startedAt()));
    }
  }
}
