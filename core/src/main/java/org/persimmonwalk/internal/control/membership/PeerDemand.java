package org.persimmonwalk.internal.control.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.Heartbeat;
import org.persimmonwalk.model.MonotonicTime;

/** The demand, in statements per second, that peers reported in their last heartbeats. */
final class PeerDemand {
  /** At the target size, a peer of the same zone sends this host a heartbeat about every 10 s. */
  private static final Duration RETENTION = Duration.ofSeconds(30);

  private final Map<EntryHostId, Report> reports = new HashMap<>();

  private record Report(Map<WorkspaceId, Double> demand, MonotonicTime receivedAt) {}

  private PeerDemand() {}

  static PeerDemand create() {
    return new PeerDemand();
  }

  void apply(Heartbeat heartbeat, MonotonicTime now) {
    reports.put(heartbeat.sender().id(), new Report(heartbeat.demand(), now));
  }

  /** Removes the reports of hosts that are not live, and reports that are too old. */
  void retain(Set<EntryHostId> live, MonotonicTime now) {
    reports.keySet().retainAll(live);
    reports.values().removeIf(report -> now.since(report.receivedAt()).compareTo(RETENTION) > 0);
  }

  Map<EntryHostId, Map<WorkspaceId, Double>> byHost() {
    return reports.entrySet().stream()
        .collect(
            Collectors.toUnmodifiableMap(Map.Entry::getKey, entry -> entry.getValue().demand()));
  }

  /**
   * Returns the workspaces with the highest demand, as many as a heartbeat may list; of those with
   * the same demand the first by id.
   */
  static Map<WorkspaceId, Double> highest(Map<WorkspaceId, Double> demand) {
    return demand.entrySet().stream()
        .sorted(
            Map.Entry.<WorkspaceId, Double>comparingByValue()
                .reversed()
                .thenComparing(Map.Entry.comparingByKey()))
        .limit(Heartbeat.DEMAND_LIMIT)
        .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
  }
}
