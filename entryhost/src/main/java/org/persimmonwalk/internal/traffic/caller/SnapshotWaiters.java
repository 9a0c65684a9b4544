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
 * Runs actions once, when a snapshot with newer samples is published, or after 20 ms. Snapshots
 * without news are passed over, because an action may itself ask for a round.
 */
public final class SnapshotWaiters implements SnapshotListener {
  private static final Duration LONGEST_WAIT = Duration.ofMillis(20);

  private final Queue<Runnable> actions = new ConcurrentLinkedQueue<>();
  private Map<DatabaseGroupId, GroupView> lastGroups = Map.of();
  private MonotonicTime lastRun = MonotonicTime.of(0);

  private SnapshotWaiters() {}

  /** Returns an empty set of waiters. */
  public static SnapshotWaiters create() {
    return new SnapshotWaiters();
  }

  /** Adds an action; it must return quickly, because it runs on the control thread. */
  void onNextSnapshot(Runnable action) {
    actions.add(action);
  }

  @Override
  public void published(Snapshot snapshot) {
    Map<DatabaseGroupId, GroupView> groups = snapshot.get(Entries.GROUPS);
    MonotonicTime now = snapshot.publishedAt();
    if (groups == lastGroups && now.since(lastRun).compareTo(LONGEST_WAIT) < 0) {
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
