package org.persimmonwalk.internal.control.position;

import java.util.LinkedHashMap;
import java.util.Map;
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

/** Keeps the newest sample of each backend server and the confirmed positions of each group. */
public final class ReplicaPositionController implements Controller {

  private ReplicaPositionController() {}

  /** Returns the controller. */
  public static ReplicaPositionController create() {
    return new ReplicaPositionController();
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    Map<BackendServerId, ServerView> servers = new LinkedHashMap<>();
    Map<DatabaseGroupId, GroupView> known = blackboard.get(Entries.GROUPS);
    known.values().forEach(group -> group.servers().forEach(view -> put(servers, view)));
    Map<DatabaseGroupId, DatabaseGroup> groups = blackboard.get(Entries.CONFIGURATION).groups();
    groups.values().forEach(group -> configure(servers, group, context.now()));
    blackboard.observations(ServerSampled.class).forEach(sampled -> apply(servers, sampled));
    blackboard.observations(ServerSampleFailed.class).forEach(failed -> apply(servers, failed));
    blackboard.get(Entries.PROBES).forEach((server, probe) -> expire(servers, server, probe));

    Map<DatabaseGroupId, GroupView> next = new LinkedHashMap<>();
    for (DatabaseGroup group : groups.values()) {
      next.put(group.id(), GroupAssessment.of(group, known.get(group.id()), servers).assess());
    }
    if (!next.equals(known)) {
      blackboard.put(Entries.GROUPS, Map.copyOf(next));
    }
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
