package org.persimmonwalk.admission;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ShareLease;
import org.persimmonwalk.model.TokenOrder;
import org.persimmonwalk.model.Workspace;

/**
 * Divides each workspace's rate and burst equally among the entry hosts. Benchmarks use it as the
 * baseline without leases.
 */
public final class EqualSplitAdmission implements AdmissionPolicy {
  private final int hosts;
  private final Map<WorkspaceId, TokenBucket> buckets = new ConcurrentHashMap<>();

  private EqualSplitAdmission(int hosts) {
    this.hosts = hosts;
  }

  /**
   * Returns a policy for one of the given number of hosts.
   *
   * @throws IllegalArgumentException if the number is below 1
   */
  public static EqualSplitAdmission of(int hosts) {
    if (hosts < 1) {
      throw new IllegalArgumentException(
          "the number of entry hosts must be at least 1, but is " + hosts);
    }
    return new EqualSplitAdmission(hosts);
  }

  @Override
  public boolean admit(Snapshot snapshot, WorkspaceId workspace, MonotonicTime now) {
    Optional<ShareLease> equalShare =
        snapshot
            .get(Entries.CONFIGURATION)
            .workspace(workspace)
            .map(found -> equalShare(found, now));
    TokenBucket bucket =
        buckets.computeIfAbsent(workspace, absent -> TokenBucket.empty(absent, now));
    bucket.apply(snapshot.round(), equalShare, snapshot.roundStartedAt());
    return bucket.admit(now);
  }

  private ShareLease equalShare(Workspace workspace, MonotonicTime now) {
    MonotonicTime noExpiry = MonotonicTime.of(now.nanoseconds() + Long.MAX_VALUE / 2);
    return ShareLease.of(
        workspace.rate() / hosts, workspace.burst() / hosts, noExpiry, TokenOrder.NONE);
  }
}
