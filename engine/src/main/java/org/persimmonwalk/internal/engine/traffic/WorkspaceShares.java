package org.persimmonwalk.internal.engine.traffic;

import java.util.HashMap;
import java.util.Map;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Tells which workspaces are inside their share: an even part of the statements of a group that
 * this host has lately sent under a limit.
 */
final class WorkspaceShares {
  /** Half-life of a sent statement, about the time that a burst must last to be held. */
  private static final double HALF_LIFE_SECONDS = 1;

  /** What is left of a statement then is forgotten. */
  private static final double SMALLEST = 0.05;

  private static final double NANOS_PER_SECOND = 1e9;

  private final Map<WorkspaceId, Double> sent = new HashMap<>();
  private MonotonicTime decayedAt;

  void recordSent(WorkspaceId workspace, MonotonicTime now) {
    decay(now);
    sent.merge(workspace, 1.0, Double::sum);
  }

  /** Returns whether the workspace has sent at most the mean of those that sent anything. */
  boolean isInside(WorkspaceId workspace, MonotonicTime now) {
    decay(now);
    double total = 0;
    for (double amount : sent.values()) {
      total += amount;
    }
    return sent.getOrDefault(workspace, 0.0) * sent.size() <= total;
  }

  private void decay(MonotonicTime now) {
    if (decayedAt != null && now.isAfter(decayedAt)) {
      double kept =
          Math.pow(0.5, now.since(decayedAt).toNanos() / NANOS_PER_SECOND / HALF_LIFE_SECONDS);
      sent.replaceAll((unused, amount) -> amount * kept);
      sent.values().removeIf(amount -> amount < SMALLEST);
    }
    decayedAt = now;
  }
}
