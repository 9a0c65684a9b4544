package org.persimmonwalk.testing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.CallerKey;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.model.Workspace;

/** Builds configurations and their parts with plausible values for tests and benchmarks. */
public final class Configurations {

  private Configurations() {}

  /**
   * Returns a configuration with one key for each workspace and three servers in each group. The
   * workspaces are assigned to the groups in turn.
   */
  public static Configuration of(long revision, int groups, int workspaces) {
    Map<DatabaseGroupId, DatabaseGroup> groupMap = new HashMap<>();
    for (int index = 0; index < groups; index++) {
      DatabaseGroup group = group("group-" + index);
      groupMap.put(group.id(), group);
    }
    Map<WorkspaceId, Workspace> workspaceMap = new HashMap<>();
    Map<KeyHash, CallerKey> keys = new HashMap<>();
    for (int index = 0; index < workspaces; index++) {
      Workspace workspace = workspace("workspace-" + index, "group-" + index % groups);
      workspaceMap.put(workspace.id(), workspace);
      CallerKey key = key("key-" + index, workspace.id().value());
      keys.put(key.hash(), key);
    }
    return new Configuration(
        Revision.of(revision), ReleaseNoteId.of("note-" + revision), workspaceMap, keys, groupMap);
  }

  /** Returns the same configuration with another revision. */
  public static Configuration withRevision(Configuration configuration, long revision) {
    return new Configuration(
        Revision.of(revision),
        ReleaseNoteId.of("note-" + revision),
        configuration.workspaces(),
        configuration.keys(),
        configuration.groups());
  }

  /** Returns a workspace that requires a key and may use the given group. */
  public static Workspace workspace(String id, String group) {
    return Workspace.of(WorkspaceId.of(id), 100, 20, Set.of(DatabaseGroupId.of(group)));
  }

  /** Returns a key of a workspace. */
  public static CallerKey key(String key, String workspace) {
    return CallerKey.of(KeyHash.ofKey(key), WorkspaceId.of(workspace));
  }

  /** Returns a group of three servers in three zones. */
  public static DatabaseGroup group(String id) {
    List<BackendServer> servers = new ArrayList<>();
    for (String zone : List.of("a", "b", "c")) {
      servers.add(server(id + "-" + zone, "zone-" + zone));
    }
    return DatabaseGroup.of(DatabaseGroupId.of(id), servers, Duration.ofSeconds(30));
  }

  /** Returns a server that accepts new work. */
  public static BackendServer server(String id, String zone) {
    return BackendServer.of(
        BackendServerId.of(id),
        AvailabilityZone.of(zone),
        SocketEndpoint.of("127.0.0.1", 5432),
        3,
        50);
  }
}
