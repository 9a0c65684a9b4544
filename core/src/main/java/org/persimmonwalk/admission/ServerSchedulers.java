package org.persimmonwalk.admission;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.routing.ServerLoad;

/**
 * This host's schedulers, one for each backend server. Thread-safe.
 *
 * @param <T> the type of the payload
 */
public final class ServerSchedulers<T> implements ServerLoad {
  private final Map<BackendServerId, ServerScheduler<T>> schedulers = new ConcurrentHashMap<>();
  private final Function<BackendServerId, ServerScheduler<T>> factory;

  private ServerSchedulers(Function<BackendServerId, ServerScheduler<T>> factory) {
    this.factory = factory;
  }

  /** Returns an empty set; the given function creates a scheduler when it is first needed. */
  public static <T> ServerSchedulers<T> of(Function<BackendServerId, ServerScheduler<T>> factory) {
    return new ServerSchedulers<>(factory);
  }

  /** Returns the scheduler of the backend server; creates it if there is none. */
  public ServerScheduler<T> get(BackendServerId server) {
    return schedulers.computeIfAbsent(server, factory);
  }

  /** Removes the schedulers of unconfigured servers that have no outstanding requests. */
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
