package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.engine.control.SuspectedRestart;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Decides which lost connections suggest a restart, so that other hosts are told of them: the loss
 * of all connections to a server at once, and a refused connection after a loss.
 *
 * <p>Load: each lost connection.
 */
final class RestartSigns {
  /** A process that ends closes all its connections within this time. */
  private static final Duration BURST = Duration.ofMillis(500);

  /** Servers close idle connections too, but not ones that were used this recently. */
  private static final Duration RECENT_USE = Duration.ofSeconds(2);

  /** The shortest time between two reports of this host on a server. */
  private static final Duration PAUSE = Duration.ofSeconds(5);

  private final Map<BackendServerId, Burst> bursts = new HashMap<>();
  private final Map<BackendServerId, MonotonicTime> reportedAt = new HashMap<>();

  /**
   * Records the loss of an open connection; returns whether it suggests a restart.
   *
   * @param lastUsed when the connection was last used; now if it was in use
   * @param oldestOpen when the oldest of the connections that are left was opened; empty if none is
   */
  boolean connectionLost(
      BackendServerId server,
      MonotonicTime lastUsed,
      Optional<MonotonicTime> oldestOpen,
      MonotonicTime now) {
    Burst old = bursts.get(server);
    boolean continues = old != null && now.since(old.startedAt()).compareTo(BURST) <= 0;
    MonotonicTime startedAt = continues ? old.startedAt() : now;
    boolean wasUsed =
        (continues && old.wasUsed()) || now.since(lastUsed).compareTo(RECENT_USE) <= 0;
    bursts.put(server, new Burst(startedAt, wasUsed));
    // A connection that was opened after the first loss is one to the next process.
    boolean isAnyLeft = oldestOpen.filter(openedAt -> openedAt.isBefore(startedAt)).isPresent();
    return wasUsed && !isAnyLeft && mayReport(server, now);
  }

  /** Records that the server refused a connection; returns whether that suggests a restart. */
  boolean connectionRefused(BackendServerId server, MonotonicTime now) {
    Burst burst = bursts.get(server);
    boolean followsLoss =
        burst != null && now.since(burst.startedAt()).compareTo(SuspectedRestart.MAXIMUM_AGE) <= 0;
    return followsLoss && mayReport(server, now);
  }

  /** Returns when the last loss that suggested a restart of the server was recorded. */
  Optional<MonotonicTime> lastReportedAt(BackendServerId server) {
    return Optional.ofNullable(reportedAt.get(server));
  }

  private boolean mayReport(BackendServerId server, MonotonicTime now) {
    MonotonicTime last = reportedAt.get(server);
    if (last != null && now.since(last).compareTo(PAUSE) < 0) {
      return false;
    }
    reportedAt.put(server, now);
    return true;
  }

  private record Burst(MonotonicTime startedAt, boolean wasUsed) {}
}
