package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.ColdServer;
import org.persimmonwalk.engine.control.ColdServer.Reason;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.ServerConnectionLost;
import org.persimmonwalk.engine.control.SuspectedRestart;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Decides which servers count as cold, from the server lists and the connections that were lost.
 *
 * <p>Load: each server list (a few entries, every 2 s at most) and each lost connection.
 */
final class ColdServers {
  private final Duration heartbeat;
  private final Duration recheckDelay;
  private final Map<BackendServerId, Reported> reported = new HashMap<>();
  private final Map<BackendServerId, ServerConnectionLost> lost = new HashMap<>();
  private MonotonicTime lastReadAt = MonotonicTime.of(Long.MIN_VALUE / 2);

  /**
   * Creates a decision that knows no cold server.
   *
   * @param heartbeat the interval at which servers renew their entries
   * @param recheckDelay how long after a loss a list must be read to show whether the server has
   *     restarted
   */
  ColdServers(Duration heartbeat, Duration recheckDelay) {
    this.heartbeat = heartbeat;
    this.recheckDelay = recheckDelay;
  }

  /**
   * Applies a list. The loss of a server that is no longer listed counts for as long as a promotion
   * may ask that server.
   *
   * <p>May be repeated with a later time if a later list had the same entries.
   */
  void applyList(Collection<ServerEntry> entries, MonotonicTime readAt) {
    lastReadAt = readAt;
    for (ServerEntry entry : entries) {
      Reported known = reported.get(entry.id());
      // A store that came back from a copy may list the process before the one that was seen.
      boolean isOutdated =
          known != null && known.entry().startedAtMillis() > entry.startedAtMillis();
      if (!isOutdated) {
        applyReport(entry, known, readAt);
      }
      ServerConnectionLost loss = lost.get(entry.id());
      if (loss != null && settles(entry, loss, readAt)) {
        lost.remove(entry.id());
      }
    }
    Set<BackendServerId> listed = entries.stream().map(ServerEntry::id).collect(Collectors.toSet());
    lost.values()
        .removeIf(
            loss ->
                !listed.contains(loss.server().id())
                    && readAt.since(loss.at()).compareTo(LapsedServers.RETENTION) > 0);
  }

  private void applyReport(ServerEntry entry, Reported known, MonotonicTime readAt) {
    if (!entry.reportsCold()) {
      reported.remove(entry.id());
    } else if (known == null || !known.describes(entry)) {
      // The entry may have been written a heartbeat before the list was read.
      MonotonicTime until = readAt.plus(entry.coldLeft()).plus(heartbeat);
      reported.put(entry.id(), new Reported(entry, until));
    }
  }

  /** Returns whether the list shows a later process, or that this one did not restart. */
  private boolean settles(ServerEntry entry, ServerConnectionLost loss, MonotonicTime readAt) {
    if (entry.startedAtMillis() > loss.server().startedAtMillis()) {
      return true;
    }
    return entry.sameProcess(loss.server())
        && !entry.reportsCold()
        && !readAt.isBefore(loss.at().plus(recheckDelay));
  }

  /** Records a lost connection. */
  void connectionLost(ServerConnectionLost loss) {
    lost.merge(
        loss.server().id(), loss, (old, other) -> other.at().isBefore(old.at()) ? old : other);
  }

  /**
   * Treats a loss that other hosts reported like one of this host, unless the last list that was
   * applied settles it already: a notice is repeated for longer than that may take.
   */
  void restartSuspected(SuspectedRestart restart, Map<BackendServerId, ServerEntry> listed) {
    ServerEntry entry = listed.get(restart.server());
    if (entry == null || entry.startedAtMillis() > restart.startedAtMillis()) {
      return;
    }
    ServerConnectionLost loss = new ServerConnectionLost(entry, restart.lostAt(), false);
    if (!settles(entry, loss, lastReadAt)) {
      connectionLost(loss);
    }
  }

  /** Returns whether the next server list may show if a listed server has restarted. */
  static boolean awaitsList(Blackboard blackboard) {
    Map<BackendServerId, ServerEntry> listed = blackboard.get(EngineEntries.SERVERS);
    return blackboard.get(EngineEntries.COLD_SERVERS).values().stream()
        .filter(cold -> listed.containsKey(cold.server().id()))
        .anyMatch(cold -> !cold.isReported());
  }

  /** Returns the servers that count as cold. */
  Map<BackendServerId, ColdServer> at(MonotonicTime now) {
    Map<BackendServerId, ColdServer> cold = new HashMap<>();
    lost.forEach((id, loss) -> cold.put(id, new ColdServer(loss.server(), Reason.CONNECTION_LOST)));
    // One whose time has passed stays known, as a list with the same entry must not extend it.
    reported.forEach(
        (id, server) -> {
          if (now.isBefore(server.until())) {
            cold.put(id, new ColdServer(server.entry(), Reason.REPORTED));
          }
        });
    return cold;
  }

  private record Reported(ServerEntry entry, MonotonicTime until) {

    /** Returns whether the entry is the one that is known, also if the server changed otherwise. */
    boolean describes(ServerEntry other) {
      return entry.sameProcess(other) && entry.coldLeft().equals(other.coldLeft());
    }
  }
}
