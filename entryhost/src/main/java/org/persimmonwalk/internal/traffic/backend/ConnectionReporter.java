package org.persimmonwalk.internal.traffic.backend;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.blackboard.SnapshotListener;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.observation.ConnectionsCounted;

/**
 * Keeps the connections of this host to each backend server within its allowance and reports their
 * number. Runs on the control thread.
 */
public final class ConnectionReporter implements SnapshotListener {
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(200);
  private static final Duration PEAK_WINDOW = Duration.ofSeconds(5);

  /** The monitor connection and one for traffic, requested ahead of the first statement. */
  private static final int MINIMUM_WANTED = 2;

  private final ServerPools pools;
  private final MonitorConnections monitors;
  private final Consumer<Observation> observations;
  private final Map<BackendServerId, Peak> peaks = new HashMap<>();
  private Map<BackendServerId, Integer> lastAllowances = Map.of();
  private MonotonicTime lastReport = MonotonicTime.of(0);

  private ConnectionReporter(
      ServerPools pools, MonitorConnections monitors, Consumer<Observation> observations) {
    this.pools = pools;
    this.monitors = monitors;
    this.observations = observations;
  }

  /** Returns a reporter that passes its reports to the given consumer. */
  public static ConnectionReporter of(
      ServerPools pools, MonitorConnections monitors, Consumer<Observation> observations) {
    return new ConnectionReporter(pools, monitors, observations);
  }

  private record Peak(int statements, MonotonicTime seenAt) {}

  @Override
  public void onPublished(Snapshot snapshot) {
    Map<BackendServerId, Integer> allowances = snapshot.get(Entries.CONNECTION_ALLOWANCES);
    MonotonicTime now = snapshot.roundStartedAt();
    boolean due = now.since(lastReport).compareTo(REPORT_INTERVAL) >= 0;
    if (!due && allowances == lastAllowances) {
      return;
    }
    lastAllowances = allowances;
    lastReport = now;
    for (DatabaseGroup group : snapshot.get(Entries.CONFIGURATION).groups().values()) {
      group.servers().forEach(server -> report(server, now));
    }
  }

  private void report(BackendServer server, MonotonicTime now) {
    int monitor = monitors.isConnected(server.id()) ? 1 : 0;
    pools.find(server.id()).ifPresent(ServerPool::shrink);
    int open = pools.find(server.id()).map(ServerPool::openConnections).orElse(0);
    int recent = pools.find(server.id()).map(ServerPool::takePeak).orElse(0);
    int wanted = Math.max(MINIMUM_WANTED, 1 + peak(server.id(), recent, now));
    observations.accept(new ConnectionsCounted(server.id(), open + monitor, wanted, now));
  }

  /** Returns the peak number of statements; a peak older than the window is replaced. */
  private int peak(BackendServerId server, int recent, MonotonicTime now) {
    Peak known = peaks.get(server);
    boolean replaces =
        known == null
            || recent >= known.statements()
            || now.since(known.seenAt()).compareTo(PEAK_WINDOW) >= 0;
    if (replaces) {
      peaks.put(server, new Peak(recent, now));
    }
    return peaks.get(server).statements();
  }
}
