package org.persimmonwalk.release;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.DatabaseGroup;

/**
 * Mutable copy of the database groups of a configuration, to which {@link ReleaseNoteApplier}
 * applies a release note. A group may be without servers until {@link #build}.
 */
final class DatabaseGroupsBuilder {
  private final Map<DatabaseGroupId, Duration> maximumAges = new HashMap<>();
  private final Map<DatabaseGroupId, Map<BackendServerId, BackendServer>> servers =
      new LinkedHashMap<>();

  private DatabaseGroupsBuilder() {}

  static DatabaseGroupsBuilder of(Map<DatabaseGroupId, DatabaseGroup> groups) {
    DatabaseGroupsBuilder builder = new DatabaseGroupsBuilder();
    groups.values().forEach(builder::putGroup);
    return builder;
  }

  void putGroup(DatabaseGroup group) {
    maximumAges.put(group.id(), group.defaultMaximumAge());
    Map<BackendServerId, BackendServer> members = new LinkedHashMap<>();
    group.servers().forEach(server -> members.put(server.id(), server));
    servers.put(group.id(), members);
  }

  void removeGroup(DatabaseGroupId group) {
    maximumAges.remove(group);
    servers.remove(group);
  }

  void putServer(DatabaseGroupId group, BackendServer server) {
    servers.get(group).put(server.id(), server);
  }

  void removeServer(BackendServerId server) {
    servers.values().forEach(members -> members.remove(server));
  }

  boolean hasGroup(DatabaseGroupId group) {
    return servers.containsKey(group);
  }

  boolean hasGroup(String group) {
    return servers.keySet().stream().anyMatch(id -> id.value().equals(group));
  }

  boolean hasServer(String server) {
    return servers.values().stream()
        .flatMap(members -> members.keySet().stream())
        .anyMatch(id -> id.value().equals(server));
  }

  Optional<DatabaseGroupId> groupOf(BackendServerId server) {
    return servers.entrySet().stream()
        .filter(entry -> entry.getValue().containsKey(server))
        .map(Map.Entry::getKey)
        .findFirst();
  }

  Optional<BackendServer> server(BackendServerId server) {
    return groupOf(server).map(group -> servers.get(group).get(server));
  }

  /**
   * Adds a fault for each group without a server that accepts new work and for each server that is
   * in two groups.
   */
  void check(List<NoteFault> faults) {
    Map<BackendServerId, DatabaseGroupId> owners = new HashMap<>();
    servers.forEach(
        (group, members) -> {
          String path = ItemName.of(group).path() + "/servers";
          if (members.values().stream().allMatch(BackendServer::leaving)) {
            faults.add(
                NoteFault.of(
                    path, "no server accepts new work; keep one that does, or withdraw the group"));
          }
          for (BackendServerId server : members.keySet()) {
            DatabaseGroupId other = owners.putIfAbsent(server, group);
            if (other != null) {
              faults.add(
                  NoteFault.of(
                      path,
                      "server "
                          + server
                          + " is also in group "
                          + other
                          + "; list it in one group"));
            }
          }
        });
  }

  Map<DatabaseGroupId, DatabaseGroup> build() {
    Map<DatabaseGroupId, DatabaseGroup> groups = new HashMap<>();
    servers.forEach(
        (group, members) ->
            groups.put(
                group,
                DatabaseGroup.of(
                    group, new ArrayList<>(members.values()), maximumAges.get(group))));
    return groups;
  }
}
