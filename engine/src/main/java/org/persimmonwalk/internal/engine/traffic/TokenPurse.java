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

/** Spends the tokens that the control state has granted, one for each operation. */
final class TokenPurse {
  private final TrafficContext context;
  private final Map<WorkspaceId, Spent> spent = new HashMap<>();
  private final Map<WorkspaceId, Integer> unreported = new HashMap<>();
  private final List<Waiter> waiters = new ArrayList<>();

  TokenPurse(TrafficContext context) {
    this.context = context;
  }

  /**
   * Admits an operation now or within the given time, or refuses it. A workspace that is known to
   * be over its limit is refused at once.
   */
  void admit(WorkspaceId workspace, Duration longestWait, Consumer<Admission> decided) {
    MonotonicTime now = context.now();
    if (spend(workspace, now, true)) {
      decided.accept(Admission.ADMITTED);
      return;
    }
    TokenGrant grant = context.entry(EngineEntries.TOKENS).get(workspace);
    if (grant != null && grant.scarce() && now.isBefore(grant.validUntil())) {
      decided.accept(Admission.OVER_LIMIT);
      return;
    }
    Waiter waiter = new Waiter(workspace, decided);
    waiters.add(waiter);
    context.scheduler().schedule(longestWait, () -> giveUp(waiter));
  }

  /** Lets operations that wait try again; called after the control state has changed. */
  void retry() {
    if (waiters.isEmpty()) {
      return;
    }
    MonotonicTime now = context.now();
    for (Waiter waiter : List.copyOf(waiters)) {
      if (spend(waiter.workspace(), now, false)) {
        waiters.remove(waiter);
        waiter.decided().accept(Admission.ADMITTED);
      }
    }
  }

  /** Reports the operations admitted since the last call, so that not each one wakes control. */
  void reportDemand() {
    List.copyOf(unreported.keySet()).forEach(workspace -> report(workspace, false));
  }

  /** Reports a workspace that has open sessions, so that tokens are at hand for it. */
  void reportPresence(WorkspaceId workspace) {
    spent.putIfAbsent(workspace, new Spent(0, 0));
    report(workspace, false);
  }

  private void report(WorkspaceId workspace, boolean waits) {
    Integer admitted = unreported.remove(workspace);
    Spent current = spent.get(workspace);
    int operations = (admitted == null ? 0 : admitted) + (waits ? 1 : 0);
    context.post(
        new WorkspaceDemand(workspace, current.epoch(), current.count(), operations, waits));
  }

  private void giveUp(Waiter waiter) {
    if (waiters.remove(waiter)) {
      waiter.decided().accept(Admission.NO_TOKEN);
    }
  }

  private boolean spend(WorkspaceId workspace, MonotonicTime now, boolean reports) {
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
    if (reports && !possible) {
      report(workspace, true);
    } else if (possible) {
      unreported.merge(workspace, 1, Integer::sum);
      if (current.count() == grant.granted()) {
        report(workspace, false);
      }
    }
    return possible;
  }

  /** What was decided of an operation. */
  enum Admission {
    ADMITTED,
    OVER_LIMIT,
    NO_TOKEN
  }

  private record Spent(long epoch, long count) {}

  private record Waiter(WorkspaceId workspace, Consumer<Admission> decided) {}
}
