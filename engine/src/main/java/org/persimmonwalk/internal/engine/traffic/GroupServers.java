package org.persimmonwalk.internal.engine.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;

/**
 * The listed servers by database group, sorted once for each server list, since several decisions
 * for each statement look at the servers of one group.
 */
final class GroupServers {
  private final TrafficContext context;
  private final Map<DatabaseGroupId, List<ServerEntry>> groups = new HashMap<>();
  private Map<BackendServerId, ServerEntry> sortedFrom = Map.of();

  GroupServers(TrafficContext context) {
    this.context = context;
  }

  /** Returns the servers of the group, draining ones included. */
  List<ServerEntry> of(DatabaseGroupId group) {
    Map<BackendServerId, ServerEntry> newest = context.entry(EngineEntries.SERVERS);
    if (newest != sortedFrom) {
      sortedFrom = newest;
      groups.clear();
      for (ServerEntry server : newest.values()) {
        groups.computeIfAbsent(server.group(), unused -> new ArrayList<>()).add(server);
      }
    }
    return groups.getOrDefault(group, List.of());
  }

  /** Returns whether several hosts share each slot of the group's servers. */
  boolean areShared(DatabaseGroupId group) {
    long slots = 0;
    for (ServerEntry server : of(group)) {
      slots += server.slots();
    }
    return context.entry(EngineEntries.FLEET_SIZE) > slots;
  }
}
