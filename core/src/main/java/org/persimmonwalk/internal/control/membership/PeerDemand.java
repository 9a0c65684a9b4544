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

/** The demand that peers stated in their last heartbeats. */
final class PeerDemand {
  /** A peer of the same zone is heard about every 10 s at the target size. */
  private static final Duration RETENTION = Duration.ofSeconds(30);

  private final Map<EntryHostId, Statement> statements = new HashMap<>();

  private record Statement(Map<WorkspaceId, Double> demand, MonotonicTime at) {}

  private PeerDemand() {}

  static PeerDemand create() {
    return new PeerDemand();
  }

  void apply(Heartbeat heartbeat, MonotonicTime now) {
    statements.put(heartbeat.sender().id(), new Statement(heartbeat.demand(), now));
  }

  void retain(Set<EntryHostId> live, MonotonicTime now) {
    statements.keySet().retainAll(live);
    statements.values().removeIf(statement -> now.since(statement.at()).compareTo(RETENTION) > 0);
  }

  Map<EntryHostId, Map<WorkspaceId, Double>> byHost() {
    return statements.entrySet().stream()
        .collect(
            Collectors.toUnmodifiableMap(Map.Entry::getKey, entry -> entry.getValue().demand()));
  }

  /** Returns the workspaces with the highest demand, as many as a heartbeat may list. */
  static Map<WorkspaceId, Double> digest(Map<WorkspaceId, Double> demand) {
    return demand.entrySet().stream()
        .sorted(Map.Entry.<WorkspaceId, Double>comparingByValue().reversed())
        .limit(Heartbeat.DEMAND_LIMIT)
        .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
  }
}
