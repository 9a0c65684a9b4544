package org.persimmonwalk.internal.traffic.backend;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.routing.ServerLoad;

/** The pools of this host, one for each backend server. */
public final class ServerPools implements ServerLoad {
  private final Map<BackendServerId, ServerPool> pools = new ConcurrentHashMap<>();
  private final BackendConnector connector;
  private final ConnectionAllowance allowance;

  private ServerPools(BackendConnector connector, ConnectionAllowance allowance) {
    this.connector = connector;
    this.allowance = allowance;
  }

  /** Returns an empty set of pools. */
  public static ServerPools of(BackendConnector connector, ConnectionAllowance allowance) {
    return new ServerPools(connector, allowance);
  }

  /** Returns the pool of a server. */
  public ServerPool pool(DatabaseGroupId group, BackendServer server) {
    return pools.computeIfAbsent(
        server.id(),
        id -> ServerPool.of(group, server, connector, () -> allowance.connections(server)));
  }

  @Override
  public int outstanding(BackendServerId server) {
    ServerPool pool = pools.get(server);
    return pool == null ? 0 : pool.outstanding();
  }

  /** Returns the pool of a server if a statement has used it. */
  public Optional<ServerPool> find(BackendServerId server) {
    return Optional.ofNullable(pools.get(server));
  }

  /** Closes all pools. */
  public void close() {
    pools.values().forEach(ServerPool::close);
  }
}
