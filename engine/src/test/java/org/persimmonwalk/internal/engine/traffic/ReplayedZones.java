package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.engine.control.ServerLoad;
import org.persimmonwalk.engine.control.ServerLoads;
import org.persimmonwalk.engine.control.ServerLoadsObserved;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.testing.FakeClock;

/** The load reports of the hosts of each zone over the last second, as relays sum them. */
final class ReplayedZones {
  static final Duration INTERVAL = Duration.ofMillis(250);
  private static final Duration WINDOW = Duration.ofSeconds(1);

  /** Whether the relays pass the sums on. */
  boolean reporting = true;

  private final FakeClock clock;
  private final List<Deque<ServerLoads>> received = new ArrayList<>();
  private final List<ServerLoads> published = new ArrayList<>();
  private final List<Runnable> listeners = new ArrayList<>();

  ReplayedZones(FakeClock clock, int zones) {
    this.clock = clock;
    for (int zone = 0; zone < zones; zone++) {
      received.add(new ArrayDeque<>());
      published.add(ServerLoads.NONE);
    }
  }

  void onPublished(Runnable listener) {
    listeners.add(listener);
  }

  ServerLoads loads(int zone) {
    return published.get(zone);
  }

  void receive(int zone, Observation observation) {
    if (observation instanceof ServerLoadsObserved observed) {
      received.get(zone).addLast(observed.loads());
    }
  }

  /** Publishes the sums to all hosts. */
  void publish() {
    MonotonicTime now = clock.now();
    for (int zone = 0; zone < received.size(); zone++) {
      Deque<ServerLoads> reports = received.get(zone);
      while (!reports.isEmpty() && now.since(reports.peekFirst().endedAt()).compareTo(WINDOW) > 0) {
        reports.removeFirst();
      }
      Map<BackendServerId, ServerLoad> sums = new HashMap<>();
      for (ServerLoads report : reports) {
        boolean newest = now.since(report.endedAt()).compareTo(INTERVAL) <= 0;
        report.loads().values().forEach(load -> add(sums, load, newest));
      }
      if (reporting) {
        published.set(zone, new ServerLoads(now, sums));
      }
    }
    listeners.forEach(Runnable::run);
  }

  private static void add(Map<BackendServerId, ServerLoad> sums, ServerLoad added, boolean newest) {
    sums.merge(
        added.server(),
        added,
        (sum, load) ->
            new ServerLoad(
                load.server(),
                sum.outstanding() + (newest ? load.outstanding() : 0),
                sum.answers() + load.answers(),
                sum.latencySum().plus(load.latencySum()),
                sum.failures() + load.failures(),
                sum.hosts() + 1));
  }
}
