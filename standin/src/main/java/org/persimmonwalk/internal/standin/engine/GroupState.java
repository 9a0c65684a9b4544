package org.persimmonwalk.internal.standin.engine;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.persimmonwalk.id.BackendServerId;

/** The blackboard of a stand-in group: the state of its servers. Used on the engine thread. */
final class GroupState {
  private final Map<BackendServerId, ServerState> servers = new LinkedHashMap<>();

  private GroupState() {}

  static GroupState create() {
    return new GroupState();
  }

  void add(ServerState server) {
    servers.put(server.id, server);
  }

  Collection<ServerState> servers() {
    return servers.values();
  }

  boolean contains(BackendServerId id) {
    return servers.containsKey(id);
  }

  /** Returns the state of a server; fails if the group has no such server. */
  ServerState server(BackendServerId id) {
    ServerState server = servers.get(id);
    if (server == null) {
      throw new IllegalArgumentException("the group has no server " + id);
    }
    return server;
  }
}
