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
  private static final String NOT_IN_SIGHT = "operation.no-token-in-sight";

  private final TrafficContext context;
  private final DeadlineTimers deadlines;
  private final Map<WorkspaceId, Spent> spent = new HashMap<>();
  private final Map<WorkspaceId, Integer> unreported = new HashMap<>();
  private final List<Waiter> waiters = new ArrayList<>();

  RateLimiter(TrafficContext context, DeadlineTimers deadlines) {
    this.context = context;
    this.deadlines = deadlines;
  }

  /**
   * Admits an operation now or within the given time, or refuses it. If the grant says that tokens
   * are scarce, the workspace is over its limit and the operation is refused at once. It is also
   * refused as soon as the control state tells that no token comes within the time.
   */
  void admit(WorkspaceId workspace, Duration longestWait, Consumer<Admission> onDecision) {
    MonotonicTime now = context.now();
    unreported.merge(workspace, 1, Integer::sum);
    if (trySpend(workspace, now)) {
      reportIfExhausted(workspace);
      onDecision.accept(Admission.ADMITTED);
      return;
    }
    if (isOverLimit(workspace, now)) {
      onDecision.accept(Admission.OVER_LIMIT);
      return;
    }
    OperationDeadline waitUntil = Arrival.now(context).deadline(longestWait);
    Waiter waiter = new Waiter(workspace, waitUntil, onDecision);
    if (comesTooLate(waiter)) {
      context.meter().count(NOT_IN_SIGHT);
      onDecision.accept(Admission.NO_TOKEN);
      return;
    }
    waiters.add(waiter);
    report(workspace);
    deadlines.schedule(waitUntil, () -> timeOut(waiter));
  }

  private boolean comesTooLate(Waiter waiter) {
    MonotonicTime noTokenBefore =
        context.entry(EngineEntries.NO_TOKEN_BEFORE).get(waiter.workspace());
    return noTokenBefore != null && !noTokenBefore.isBefore(waiter.waitUntil().at(context));
  }

  private boolean isOverLimit(WorkspaceId workspace, MonotonicTime now) {
    TokenGrant grant = context.entry(EngineEntries.TOKENS).get(workspace);
    return grant != null && now.isBefore(grant.scarceUntil());
  }

  /**
   * Retries waiting operations, and refuses those of workspaces that turned out to be over their
   * limit or for which no token comes in time; called when the control state has changed.
   */
  void retry() {
    if (waiters.isEmpty()) {
      return;
    }
    MonotonicTime now = context.now();
    for (Waiter waiter : List.copyOf(waiters)) {
      if (waiter.waitUntil().hasPassed(context)) {
        timeOut(waiter);
      } else if (trySpend(waiter.workspace(), now)) {
        waiters.remove(waiter);
        reportIfExhausted(waiter.workspace());
        waiter.onDecision().accept(Admission.ADMITTED);
      } else if (isOverLimit(waiter.workspace(), now)) {
        waiters.remove(waiter);
        waiter.onDecision().accept(Admission.OVER_LIMIT);
      } else if (comesTooLate(waiter)) {
        context.meter().count(NOT_IN_SIGHT);
        timeOut(waiter);
      }
    }
  }

  /**
   * Reports the operations admitted since the last call; one report for many operations, as each
   * report wakes the control thread.
   */
  void reportDemand() {
    List.copyOf(unreported.keySet()).forEach(this::report);
  }

  /**
   * Reports a workspace that has open sessions, so that tokens are granted before they are needed.
   */
  void reportActive(WorkspaceId workspace) {
    report(workspace);
  }

  private void report(WorkspaceId workspace) {
    Integer operations = unreported.remove(workspace);
    Spent current = spent.getOrDefault(workspace, Spent.NOTHING);
    int waiting =
        (int) waiters.stream().filter(waiter -> waiter.workspace().equals(workspace)).count();
    context.post(
        new WorkspaceDemand(
            workspace,
            current.epoch(),
            current.count(),
            operations == null ? 0 : operations,
            waiting));
  }

  private void timeOut(Waiter waiter) {
    if (waiters.remove(waiter)) {
      waiter.onDecision().accept(Admission.NO_TOKEN);
    }
  }

  private boolean trySpend(WorkspaceId workspace, MonotonicTime now) {
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
    return possible;
  }

  /** Reports that the last token was spent, so that further ones are granted in time. */
  private void reportIfExhausted(WorkspaceId workspace) {
    TokenGrant grant = context.entry(EngineEntries.TOKENS).get(workspace);
    if (grant != null && spent.get(workspace).count() >= grant.granted()) {
      report(workspace);
    }
  }

  /** The decision on an operation. */
  enum Admission {
    ADMITTED,
    OVER_LIMIT,
    NO_TOKEN
  }

  private record Spent(long epoch, long count) {
    private static final Spent NOTHING = new Spent(0, 0);
  }

  private record Waiter(
      WorkspaceId workspace, OperationDeadline waitUntil, Consumer<Admission> onDecision) {}
}
