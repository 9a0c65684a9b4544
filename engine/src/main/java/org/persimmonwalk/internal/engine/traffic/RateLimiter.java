package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.TokenGrant;
import org.persimmonwalk.engine.control.WorkspaceDemand;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Admits operations against the rate tokens that the control state has granted to each workspace,
 * one token for each operation, and reports the demand to the control thread.
 */
final class RateLimiter {
  private final TrafficContext context;
  private final Map<WorkspaceId, Spent> spent = new HashMap<>();
  private final Map<WorkspaceId, Integer> unreported = new HashMap<>();
  private final List<Waiter> waiters = new ArrayList<>();

  RateLimiter(TrafficContext context) {
    this.context = context;
  }

  /**
   * Admits an operation now or within the given time, or refuses it. If the grant says that tokens
   * are scarce, the workspace is over its limit and the operation is refused at once.
   */
  void admit(WorkspaceId workspace, Duration longestWait, Consumer<Admission> onDecision) {
    MonotonicTime now = context.now();
    if (trySpend(workspace, now, true)) {
      onDecision.accept(Admission.ADMITTED);
      return;
    }
    TokenGrant grant = context.entry(EngineEntries.TOKENS).get(workspace);
    if (grant != null && grant.scarce() && now.isBefore(grant.validUntil())) {
      onDecision.accept(Admission.OVER_LIMIT);
      return;
    }
    Waiter waiter = new Waiter(workspace, onDecision);
    waiters.add(waiter);
    context.scheduler().schedule(longestWait, () -> timeOut(waiter));
  }

  /** Retries waiting operations; called when the control state has changed. */
  void retry() {
    if (waiters.isEmpty()) {
      return;
    }
    MonotonicTime now = context.now();
    for (Waiter waiter : List.copyOf(waiters)) {
      if (trySpend(waiter.workspace(), now, false)) {
        waiters.remove(waiter);
        waiter.onDecision().accept(Admission.ADMITTED);
      }
    }
  }

  /**
   * Reports the operations admitted since the last call; one report for many operations, as each
   * report wakes the control thread.
   */
  void reportDemand() {
    List.copyOf(unreported.keySet()).forEach(workspace -> report(workspace, false));
  }

  /**
   * Reports a workspace that has open sessions, so that tokens are granted before they are needed.
   */
  void reportActive(WorkspaceId workspace) {
    spent.putIfAbsent(workspace, new Spent(0, 0));
    report(workspace, false);
  }

  private void report(WorkspaceId workspace, boolean waiting) {
    Integer admitted = unreported.remove(workspace);
    Spent current = spent.get(workspace);
    int operations = (admitted == null ? 0 : admitted) + (waiting ? 1 : 0);
    context.post(
        new WorkspaceDemand(workspace, current.epoch(), current.count(), operations, waiting));
  }

  private void timeOut(Waiter waiter) {
    if (waiters.remove(waiter)) {
      waiter.onDecision().accept(Admission.NO_TOKEN);
    }
  }

  private boolean trySpend(WorkspaceId workspace, MonotonicTime now, boolean reportIfSpent) {
    TokenGrant grant = context.entry(EngineEntries.TOKENS).get(workspace);
    long epoch = grant == null ? 0 : grant.epoch();
    Spent current = spent.get(workspace);
    if (current == null || current.epoch() != epoch) {
      current = new Spent(epoch, 0);
    }
    boolean possible =
        grant != null
            && now.isBefore(grant.validUntil())
            && !grant.takenAt().isBefore(context.suspension().lastResumedAt())
            && current.count() < grant.granted();
    if (possible) {
      current = new Spent(epoch, current.count() + 1);
    }
    spent.put(workspace, current);
    if (reportIfSpent && !possible) {
      report(workspace, true);
    } else if (possible) {
      unreported.merge(workspace, 1, Integer::sum);
      if (current.count() == grant.granted()) {
        report(workspace, false);
      }
    }
    return possible;
  }

  /** The decision on an operation. */
  enum Admission {
    ADMITTED,
    OVER_LIMIT,
    NO_TOKEN
  }

  private record Spent(long epoch, long count) {}

  private record Waiter(WorkspaceId workspace, Consumer<Admission> onDecision) {}
}
