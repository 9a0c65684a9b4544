package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Remembers servers whose entry expired although they had not announced that they leave. Such a
 * server may have crashed with commits that no other replica has received, and may return.
 */
final class LapsedServers {
  /**
   * How long an expired server counts. Replicas that lag receive the log again well within this
   * time; a server that is gone for good must not block promotions for longer.
   */
  static final Duration RETENTION = Duration.ofSeconds(15);

  private final Map<BackendServerId, Lapsed> lapsed = new HashMap<>();
  private Map<BackendServerId, ServerEntry> lastListed = Map.of();

  /** Compares the list of servers with the one before. */
  void update(Map<BackendServerId, ServerEntry> listed, MonotonicTime now) {
    if (listed != lastListed) {
      lastListed.forEach(
          (id, entry) -> {
            if (!listed.containsKey(id) && !entry.draining()) {
              lapsed.put(id, new Lapsed(entry, now));
            }
          });
      lapsed.keySet().removeAll(listed.keySet());
      lastListed = listed;
    }
    lapsed.values().removeIf(server -> now.since(server.at()).compareTo(RETENTION) > 0);
  }

  /** Returns the servers of the group that still count, except for its old primary. */
  Map<BackendServerId, ServerEntry> of(DatabaseGroupId group, BackendServerId oldPrimary) {
    return lapsed.values().stream()
        .map(Lapsed::entry)
        .filter(entry -> entry.group().equals(group) && !entry.id().equals(oldPrimary))
        .collect(Collectors.toMap(ServerEntry::id, entry -> entry));
  }

  private record Lapsed(ServerEntry entry, MonotonicTime at) {}
}
