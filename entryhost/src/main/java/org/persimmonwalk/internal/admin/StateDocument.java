package org.persimmonwalk.internal.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.internal.settings.Settings;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.ConfirmedPosition;
import org.persimmonwalk.model.GroupView;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ServerSample;
import org.persimmonwalk.model.ServerView;
import org.persimmonwalk.model.ShareLease;
import org.persimmonwalk.model.Workspace;

/** Converts a snapshot to JSON. Ages are measured up to the time of the request. */
final class StateDocument {
  private final Settings.Host host;
  private final Snapshot snapshot;
  private final MonotonicTime now;

  private StateDocument(Settings.Host host, Snapshot snapshot, MonotonicTime now) {
    this.host = host;
    this.snapshot = snapshot;
    this.now = now;
  }

  static StateDocument of(Settings.Host host, Snapshot snapshot, MonotonicTime now) {
    return new StateDocument(host, snapshot, now);
  }

  ObjectNode toJson() {
    Configuration configuration = snapshot.get(Entries.CONFIGURATION);
    ObjectNode tree = JsonNodeFactory.instance.objectNode();
    tree.put("host", host.id().value());
    tree.put("zone", host.zone().value());
    tree.put("phase", snapshot.get(Entries.HOST_PHASE).name());
    tree.put("round", snapshot.round());
    putAge(tree, "snapshotAgeMilliseconds", Optional.of(snapshot.roundStartedAt()));
    tree.put("revision", configuration.revision().number());
    tree.put("note", configuration.note().value());
    putAge(tree, "freshnessAgeMilliseconds", snapshot.get(Entries.CONFIGURATION_CURRENT_AT));
    ArrayNode groups = tree.putArray("groups");
    ArrayNode servers = tree.putArray("servers");
    for (GroupView group : sortedGroups()) {
      putGroup(groups.addObject(), group);
      group.servers().forEach(server -> putServer(servers.addObject(), group, server));
    }
    ArrayNode workspaces = tree.putArray("workspaces");
    configuration.workspaces().values().stream()
        .sorted(Comparator.comparing(workspace -> workspace.id().value()))
        .forEach(workspace -> putWorkspace(workspaces.addObject(), workspace));
    ArrayNode peers = tree.putArray("peers");
    snapshot.get(Entries.HOSTS).values().stream()
        .sorted(Comparator.comparing(peer -> peer.id().value()))
        .forEach(peer -> putPeer(peers.addObject(), peer));
    return tree;
  }

  private List<GroupView> sortedGroups() {
    return snapshot.get(Entries.GROUPS).values().stream()
        .sorted(Comparator.comparing(group -> group.id().value()))
        .toList();
  }

  private void putGroup(ObjectNode tree, GroupView group) {
    tree.put("id", group.id().value());
    tree.put("term", group.term().number());
    tree.put("primary", group.primary().map(server -> server.value()).orElse(null));
    Optional<ConfirmedPosition> confirmed = group.newestConfirmed();
    tree.put(
        "confirmedPosition",
        confirmed.map(newest -> newest.position().position().toString()).orElse(null));
    putAge(tree, "confirmedAgeMilliseconds", confirmed.map(ConfirmedPosition::startedAt));
  }

  private void putServer(ObjectNode tree, GroupView group, ServerView view) {
    BackendServer server = view.server();
    Optional<ServerSample> sample = view.sample();
    tree.put("id", server.id().value());
    tree.put("group", group.id().value());
    tree.put("zone", server.zone().value());
    tree.put("endpoint", server.endpoint().toString());
    tree.put("leaving", server.leaving());
    tree.put("role", sample.map(found -> found.role().name()).orElse(null));
    tree.put("term", sample.map(found -> found.term().number()).orElse(null));
    tree.put("received", sample.map(found -> found.received().toString()).orElse(null));
    tree.put("replayed", sample.map(found -> found.replayed().toString()).orElse(null));
    tree.put(
        "primaryContactAgeMilliseconds",
        sample.map(found -> found.primaryContactAge().toMillis()).orElse(null));
    putAge(tree, "sampleAgeMilliseconds", sample.map(found -> view.sampledAt()));
    putAge(
        tree, "dataAgeMilliseconds", sample.flatMap(found -> replayedPositionTime(group, found)));
    putAge(tree, "failingMilliseconds", view.failingSince());
    tree.put("connectionAllowance", snapshot.get(Entries.CONNECTION_ALLOWANCES).get(server.id()));
  }

  /** Returns the sample time of the newest confirmed position that the server has replayed. */
  private static Optional<MonotonicTime> replayedPositionTime(
      GroupView group, ServerSample sample) {
    return group.confirmed().stream()
        .filter(confirmed -> confirmed.position().term().equals(sample.term()))
        .filter(confirmed -> sample.replayed().covers(confirmed.position().position()))
        .map(ConfirmedPosition::startedAt)
        .max(Comparator.naturalOrder());
  }

  private void putWorkspace(ObjectNode tree, Workspace workspace) {
    tree.put("id", workspace.id().value());
    tree.put("rate", workspace.rate());
    tree.put("burst", workspace.burst());
    tree.put("open", workspace.open());
    ShareLease share = snapshot.get(Entries.SHARES).get(workspace.id());
    tree.put("shareRate", share == null ? 0.0 : share.rate());
    tree.put("shareBurst", share == null ? 0.0 : share.burst());
    tree.put(
        "shareEndsInMilliseconds", share == null ? null : (Long) share.end().since(now).toMillis());
    tree.put("demand", snapshot.get(Entries.DEMAND).getOrDefault(workspace.id(), 0.0));
  }

  private void putPeer(ObjectNode tree, HostEntry peer) {
    tree.put("id", peer.id().value());
    tree.put("zone", peer.zone().value());
    tree.put("endpoint", peer.endpoint().toString());
    tree.put("leaving", peer.leaving());
    tree.put("live", snapshot.get(Entries.LIVE_HOSTS).contains(peer.id()));
    Map<WorkspaceId, Double> demand =
        snapshot.get(Entries.PEER_DEMAND).getOrDefault(peer.id(), Map.of());
    ObjectNode node = tree.putObject("demand");
    demand.entrySet().stream()
        .sorted(Comparator.comparing(entry -> entry.getKey().value()))
        .forEach(entry -> node.put(entry.getKey().value(), entry.getValue()));
  }

  private void putAge(ObjectNode tree, String name, Optional<MonotonicTime> time) {
    tree.put(name, time.map(now::since).map(Duration::toMillis).orElse(null));
  }
}
