package org.persimmonwalk.admission;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.routing.ServerLoad;

/**
 * The schedulers of this host for all backend servers. Safe for use by several threads.
 *
 * @param <T> the type of the payload
 */
public final class ServerSchedulers<T> implements ServerLoad {
  private final Map<BackendServerId, ServerScheduler<T>> schedulers = new ConcurrentHashMap<>();
  private final Function<BackendServerId, ServerScheduler<T>> factory;

  private ServerSchedulers(Function<BackendServerId, ServerScheduler<T>> factory) {
    this.factory = factory;
  }

  /** Returns a set of schedulers that are made by the given function when first needed. */
  public static <T> ServerSchedulers<T> of(Function<BackendServerId, ServerScheduler<T>> factory) {
    return new ServerSchedulers<>(factory);
  }

  /** Returns the scheduler of the backend server. */
  public ServerScheduler<T> get(BackendServerId server) {
    return schedulers.computeIfAbsent(server, factory);
  }

  /** Drops the schedulers without outstanding requests of servers that are not configured. */
  public void retain(Set<BackendServerId> configured) {
    schedulers
        .entrySet()
        .removeIf(
            entry -> !configured.contains(entry.getKey()) && entry.getValue().outstanding() == 0);
  }

  @Override
  public int outstanding(BackendServerId server) {
    ServerScheduler<T> scheduler = schedulers.get(server);
    return scheduler == null ? 0 : scheduler.outstanding();
  }
}
