package org.persimmonwalk.internal.engine.traffic;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.ServerLoad;
import org.persimmonwalk.engine.control.ServerLoads;
import org.persimmonwalk.engine.control.ServerLoadsObserved;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Reports the loads of the servers that this host used to the control thread, and measures how
 * evenly the hosts of the zone load the servers.
 */
final class LoadReporter {
  /** The ratio of a few answers says nothing about the choice of servers. */
  private static final int ANSWERS_FOR_RATIO = 50;

  private final TrafficContext context;
  private MonotonicTime reportedAt;
  private MonotonicTime measuredAt = ServerLoads.NONE.endedAt();

  LoadReporter(TrafficContext context) {
    this.context = context;
    this.reportedAt = context.now();
  }

  /** Reports if an exchange with the relay is due, which carries the report. */
  void tick(Collection<ServerPool> pools, MonotonicTime now) {
    if (now.since(reportedAt).compareTo(context.timings().exchangeInterval()) < 0) {
      return;
    }
    reportedAt = now;
    Map<BackendServerId, ServerLoad> loads = new HashMap<>();
    for (ServerPool pool : pools) {
      BackendServerId server = pool.server().id();
      int outstanding = pool.outstanding();
      if (outstanding > 0 || pool.load().isUsed()) {
        ServerLoad load = pool.load().take(server, outstanding);
        if (pool.isShared()) {
          loads.put(server, load);
        }
      }
    }
    if (!loads.isEmpty()) {
      context.post(new ServerLoadsObserved(new ServerLoads(now, loads)));
    }
    measure(context.entry(EngineEntries.ZONE_LOADS));
  }

  private void measure(ServerLoads zoneLoads) {
    if (!zoneLoads.endedAt().isAfter(measuredAt)) {
      return;
    }
    measuredAt = zoneLoads.endedAt();
    long total = 0;
    int highest = 0;
    for (ServerLoad load : zoneLoads.loads().values()) {
      total += load.answers();
      highest = Math.max(highest, load.answers());
    }
    int servers = context.entry(EngineEntries.SERVERS).size();
    if (total >= ANSWERS_FOR_RATIO && servers > 0) {
      context.meter().gauge("server.load.busiest-to-mean", (double) highest * servers / total);
    }
  }
}
