package org.persimmonwalk.bench.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.CallerKey;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.model.Workspace;

/** Generates configurations and host lists of a given size, spread over 7 availability zones. */
final class SyntheticConfiguration {
  private static final int ZONES = 7;
  private static final int CONNECTIONS = 50;
  private static final int SLOTS = 3;
  private static final int PORT = 5432;
  private static final int GROUPS_PER_WORKSPACE = 3;
  private static final double RATE_PER_HOST = 25;
  private static final Duration MAXIMUM_AGE = Duration.ofSeconds(30);

  private SyntheticConfiguration() {}

  static Configuration of(Sizes sizes) {
    Map<DatabaseGroupId, DatabaseGroup> groups = new HashMap<>();
    for (int i = 0; i < sizes.groups(); i++) {
      DatabaseGroup group = group(i);
      groups.put(group.id(), group);
    }
    Map<WorkspaceId, Workspace> workspaces = new HashMap<>();
    for (int i = 0; i < sizes.workspaces(); i++) {
      Workspace workspace = workspace(i, sizes);
      workspaces.put(workspace.id(), workspace);
    }
    Map<KeyHash, CallerKey> keys = new HashMap<>();
    for (int i = 0; i < sizes.keys(); i++) {
      KeyHash hash = KeyHash.ofKey("key-" + i);
      keys.put(hash, CallerKey.of(hash, workspaceId(i % sizes.workspaces())));
    }
    return new Configuration(Revision.of(1), ReleaseNoteId.of("note-1"), workspaces, keys, groups);
  }

  static List<HostEntry> hosts(int count) {
    List<HostEntry> hosts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      EntryHostId id = EntryHostId.of("entry-host-" + i);
      hosts.add(HostEntry.of(id, zone(i), SocketEndpoint.of(address(i), PORT)));
    }
    return hosts;
  }

  static DatabaseGroupId groupId(int number) {
    return DatabaseGroupId.of("database-" + number);
  }

  static DatabaseGroup group(int number) {
    List<BackendServer> servers = new ArrayList<>();
    for (int i = 0; i < Sizes.SERVERS_PER_GROUP; i++) {
      BackendServerId id = BackendServerId.of("database-" + number + "-server-" + i);
      SocketEndpoint endpoint = SocketEndpoint.of(address(number), PORT + i);
      servers.add(BackendServer.of(id, zone(number + i), endpoint, SLOTS, CONNECTIONS));
    }
    return DatabaseGroup.of(groupId(number), servers, MAXIMUM_AGE);
  }

  private static Workspace workspace(int number, Sizes sizes) {
    double rate = RATE_PER_HOST * sizes.hosts();
    Set<DatabaseGroupId> groups = new HashSet<>();
    for (int i = 0; i < Math.min(GROUPS_PER_WORKSPACE, sizes.groups()); i++) {
      groups.add(groupId((number * GROUPS_PER_WORKSPACE + i) % sizes.groups()));
    }
    return Workspace.of(workspaceId(number), rate, rate, groups);
  }

  private static WorkspaceId workspaceId(int number) {
    return WorkspaceId.of("workspace-" + number);
  }

  private static AvailabilityZone zone(int number) {
    return AvailabilityZone.of("zone-" + number % ZONES);
  }

  private static String address(int number) {
    return "10.0." + number / 250 + "." + (number % 250 + 1);
  }
}
