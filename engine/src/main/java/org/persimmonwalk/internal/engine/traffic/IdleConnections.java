package org.persimmonwalk.internal.engine.traffic;

import java.util.ArrayList;
import java.util.List;
import org.persimmonwalk.id.WorkspaceId;

/** The connections to one server that no session uses. Each statement looks for one here. */
final class IdleConnections {
  private final List<PooledConnection> connections = new ArrayList<>();

  void add(PooledConnection connection) {
    connections.add(connection);
  }

  /** Removes a connection; returns whether it was idle. */
  boolean remove(PooledConnection connection) {
    return connections.remove(connection);
  }

  int size() {
    return connections.size();
  }

  boolean isEmpty() {
    return connections.isEmpty();
  }

  boolean has(WorkspaceId workspace) {
    return latestOf(workspace) != null;
  }

  /** Removes and returns the connection of a workspace that was used last; null if none is idle. */
  PooledConnection takeLatest(WorkspaceId workspace) {
    PooledConnection latest = latestOf(workspace);
    connections.remove(latest);
    return latest;
  }

  private PooledConnection latestOf(WorkspaceId workspace) {
    PooledConnection latest = null;
    for (PooledConnection connection : connections) {
      if (connection.workspace().equals(workspace)
          && (latest == null || latest.lastUsed().isBefore(connection.lastUsed()))) {
        latest = connection;
      }
    }
    return latest;
  }

  /** Returns the connection that was used first, of any workspace; null if none is idle. */
  PooledConnection oldest() {
    PooledConnection oldest = null;
    for (PooledConnection connection : connections) {
      if (oldest == null || connection.lastUsed().isBefore(oldest.lastUsed())) {
        oldest = connection;
      }
    }
    return oldest;
  }

  /** Returns the connections in a list that does not change when one is removed here. */
  List<PooledConnection> toList() {
    return List.copyOf(connections);
  }
}
