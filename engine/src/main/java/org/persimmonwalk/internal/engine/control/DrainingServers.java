package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Remembers the server processes that have announced that they leave. A store that came back from a
 * copy may list them again as if they had not.
 */
final class DrainingServers {
  /** A copy is some seconds old, and an entry in it expires after some heartbeats. */
  static final Duration RETENTION = Duration.ofSeconds(60);

  private final Map<Process, MonotonicTime> lastSeenAt = new HashMap<>();
  private final Set<Process> seenBeforeReturn = new HashSet<>();

  /** Records the entries that are draining. */
  void record(Collection<ServerEntry> entries, MonotonicTime now) {
    entries.stream()
        .filter(ServerEntry::draining)
        .forEach(entry -> lastSeenAt.put(Process.of(entry), now));
    lastSeenAt.values().removeIf(at -> now.since(at).compareTo(RETENTION) > 0);
    seenBeforeReturn.retainAll(lastSeenAt.keySet());
  }

  /** Keeps all processes seen so far as draining, whatever the list of the new era says. */
  void storeCameBack() {
    seenBeforeReturn.addAll(lastSeenAt.keySet());
  }

  /** Returns the entry, draining if its process was seen to be before the store came back. */
  ServerEntry correct(ServerEntry entry) {
    return !entry.draining() && seenBeforeReturn.contains(Process.of(entry))
        ? entry.asDraining()
        : entry;
  }

  private record Process(BackendServerId id, long startedAtMillis) {
    static Process of(ServerEntry entry) {
      return new Process(entry.id(), entry.startedAtMillis());
    }
  }
}
