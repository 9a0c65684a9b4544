package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.persimmonwalk.engine.control.ServerLoad;
import org.persimmonwalk.engine.control.ServerLoads;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.MonotonicTime;

/** Sums what the hosts of a zone have reported of the servers lately. */
final class ServerLoadSums {
  /**
   * The interval that the sums cover. In a shorter one a zone has too few answers of a server for a
   * mean: about ten a second in a fleet of 94 hosts with 500 operations a second.
   */
  static final Duration WINDOW = Duration.ofMillis(1000);

  /**
   * How long a host's number of outstanding statements counts: until its next report, which comes
   * every 0.25 to 0.4 s if it uses any server.
   */
  static final Duration OUTSTANDING_VALIDITY = Duration.ofMillis(500);

  /** More reports than a zone of 200 hosts sends in the interval; the oldest are dropped. */
  private static final int MAXIMUM_REPORTS = 1000;

  private final Deque<Received> received = new ArrayDeque<>();
  private final Map<EntryHostId, Received> newest = new HashMap<>();

  /** Adds the report of a host on an interval that ended at the given time. */
  void add(EntryHostId host, Collection<ServerLoad> loads, MonotonicTime endedAt) {
    Received report = new Received(loads, endedAt);
    received.addLast(report);
    newest.merge(host, report, (old, added) -> old.at().isAfter(added.at()) ? old : added);
    if (received.size() > MAXIMUM_REPORTS) {
      received.removeFirst();
    }
  }

  boolean isEmpty() {
    return received.isEmpty() && newest.isEmpty();
  }

  void clear() {
    received.clear();
    newest.clear();
  }

  ServerLoads sum(MonotonicTime now) {
    while (!received.isEmpty() && now.since(received.peekFirst().at()).compareTo(WINDOW) > 0) {
      received.removeFirst();
    }
    newest.values().removeIf(report -> now.since(report.at()).compareTo(WINDOW) > 0);
    Map<BackendServerId, Sum> sums = new HashMap<>();
    for (Received report : received) {
      boolean isRecent = now.since(report.at()).compareTo(WINDOW) <= 0;
      for (ServerLoad load : isRecent ? report.loads() : List.<ServerLoad>of()) {
        sums.computeIfAbsent(load.server(), unused -> new Sum()).addAnswers(load);
      }
    }
    for (Received report : newest.values()) {
      boolean isRecent = now.since(report.at()).compareTo(OUTSTANDING_VALIDITY) <= 0;
      for (ServerLoad load : report.loads()) {
        // The report may be one that was dropped for the limit.
        Sum sum = sums.computeIfAbsent(load.server(), unused -> new Sum());
        sum.hosts++;
        sum.outstanding += isRecent ? load.outstanding() : 0;
      }
    }
    Map<BackendServerId, ServerLoad> loads = new HashMap<>();
    sums.forEach((server, sum) -> loads.put(server, sum.of(server)));
    return new ServerLoads(now, loads);
  }

  private record Received(Collection<ServerLoad> loads, MonotonicTime at) {}

  private static final class Sum {
    private long outstanding;
    private long answers;
    private Duration latencySum = Duration.ZERO;
    private long failures;
    private int hosts;

    private void addAnswers(ServerLoad load) {
      answers += load.answers();
      latencySum = latencySum.plus(load.latencySum());
      failures += load.failures();
    }

    private ServerLoad of(BackendServerId server) {
      return new ServerLoad(
          server, limited(outstanding), limited(answers), latencySum, limited(failures), hosts);
    }

    private static int limited(long number) {
      return (int) Math.min(Integer.MAX_VALUE, number);
    }
  }
}
