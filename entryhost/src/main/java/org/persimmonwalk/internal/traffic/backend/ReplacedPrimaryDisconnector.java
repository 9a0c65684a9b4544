package org.persimmonwalk.internal.traffic.backend;

import java.util.HashMap;
import java.util.Map;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.blackboard.SnapshotListener;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.GroupView;

/**
 * Closes the connections to a primary that has been replaced. An isolated server may never answer,
 * and none of its answers may be forwarded to callers. Runs on the control thread.
 */
public final class ReplacedPrimaryDisconnector implements SnapshotListener {
  private final ServerPools pools;
  private final Map<DatabaseGroupId, BackendServerId> primaries = new HashMap<>();

  private ReplacedPrimaryDisconnector(ServerPools pools) {
    this.pools = pools;
  }

  /** Returns a listener that closes connections of the pools. */
  public static ReplacedPrimaryDisconnector of(ServerPools pools) {
    return new ReplacedPrimaryDisconnector(pools);
  }

  @Override
  public void onPublished(Snapshot snapshot) {
    snapshot.get(Entries.GROUPS).values().forEach(this::checkPrimary);
  }

  private void checkPrimary(GroupView group) {
    group.primary().ifPresent(primary -> recordPrimary(group.id(), primary));
  }

  private void recordPrimary(DatabaseGroupId group, BackendServerId primary) {
    BackendServerId previous = primaries.put(group, primary);
    if (previous != null && !previous.equals(primary)) {
      pools.find(previous).ifPresent(ServerPool::closeConnections);
    }
  }
}
