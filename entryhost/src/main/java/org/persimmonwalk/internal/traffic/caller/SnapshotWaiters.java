package org.persimmonwalk.internal.traffic.caller;

import java.time.Duration;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.blackboard.SnapshotListener;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.GroupView;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Runs each action once, with the next snapshot that has newer samples or is published 20 ms or
 * more after the last run. Other snapshots are skipped, because an action may itself trigger the
 * control round that publishes the next one.
 */
public final class SnapshotWaiters implements SnapshotListener {
  private static final Duration MAXIMUM_INTERVAL = Duration.ofMillis(20);

  private final Queue<Runnable> actions = new ConcurrentLinkedQueue<>();
  private Map<DatabaseGroupId, GroupView> lastGroups = Map.of();
  private MonotonicTime lastRun = MonotonicTime.of(0);

  private SnapshotWaiters() {}

  /** Returns an instance without actions. */
  public static SnapshotWaiters create() {
    return new SnapshotWaiters();
  }

  /** Adds an action; it must return quickly, because it runs on the control thread. */
  void onNextSnapshot(Runnable action) {
    actions.add(action);
  }

  @Override
  public void onPublished(Snapshot snapshot) {
    Map<DatabaseGroupId, GroupView> groups = snapshot.get(Entries.GROUPS);
    MonotonicTime now = snapshot.roundStartedAt();
    if (groups == lastGroups && now.since(lastRun).compareTo(MAXIMUM_INTERVAL) < 0) {
      return;
    }
    lastGroups = groups;
    lastRun = now;
    int count = actions.size();
    for (int i = 0; i < count; i++) {
      actions.remove().run();
    }
  }
}
