package org.persimmonwalk.internal.traffic.backend;

import io.netty.util.concurrent.EventExecutorGroup;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.persimmonwalk.admission.ServerSchedulers;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.routing.ServerLoad;

/** The pools and queues of this host, one of each for every backend server. Thread-safe. */
public final class ServerPools implements ServerLoad {
  private final Map<BackendServerId, ServerQueue> queues = new ConcurrentHashMap<>();
  private final BackendConnector connector;
  private final ConnectionAllowance allowance;
  private final ServerSchedulers<ConnectionWaiter> schedulers;
  private final MonotonicClock clock;
  private final EventExecutorGroup timers;

  private ServerPools(
      BackendConnector connector,
      ConnectionAllowance allowance,
      ServerSchedulers<ConnectionWaiter> schedulers,
      MonotonicClock clock,
      EventExecutorGroup timers) {
    this.connector = connector;
    this.allowance = allowance;
    this.schedulers = schedulers;
    this.clock = clock;
    this.timers = timers;
  }

  /**
   * Returns an empty set of pools.
   *
   * @param schedulers decide the order and the pace of statements
   * @param timers run the delayed calls of the schedulers
   */
  public static ServerPools of(
      BackendConnector connector,
      ConnectionAllowance allowance,
      ServerSchedulers<ConnectionWaiter> schedulers,
      MonotonicClock clock,
      EventExecutorGroup timers) {
    return new ServerPools(connector, allowance, schedulers, clock, timers);
  }

  /** Returns the queue of a server. */
  public ServerQueue queue(DatabaseGroupId group, BackendServer server) {
    return queues.computeIfAbsent(server.id(), id -> create(group, server));
  }

  private ServerQueue create(DatabaseGroupId group, BackendServer server) {
    ServerPool pool = ServerPool.of(group, server, connector, () -> allowance.connections(server));
    return ServerQueue.of(schedulers.get(server.id()), pool, clock, timers);
  }

  @Override
  public int outstanding(BackendServerId server) {
    return schedulers.outstanding(server);
  }

  /** Returns the pool of a server if a statement has used it. */
  public Optional<ServerPool> find(BackendServerId server) {
    return Optional.ofNullable(queues.get(server)).map(ServerQueue::pool);
  }

  /** Closes all pools. */
  public void close() {
    queues.values().forEach(queue -> queue.pool().close());
  }
}
