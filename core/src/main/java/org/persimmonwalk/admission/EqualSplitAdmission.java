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

/** Gives each entry host the same fixed part of each workspace; the baseline without leases. */
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
      throw new IllegalArgumentException("a split needs at least 1 host, not " + hosts);
    }
    return new EqualSplitAdmission(hosts);
  }

  @Override
  public boolean admit(Snapshot snapshot, WorkspaceId workspace, MonotonicTime now) {
    Optional<ShareLease> part =
        snapshot.get(Entries.CONFIGURATION).workspace(workspace).map(found -> part(found, now));
    TokenBucket bucket =
        buckets.computeIfAbsent(workspace, absent -> TokenBucket.empty(absent, now));
    bucket.apply(snapshot.round(), part, snapshot.publishedAt());
    return bucket.admit(now);
  }

  private ShareLease part(Workspace workspace, MonotonicTime now) {
    MonotonicTime never = MonotonicTime.of(now.nanoseconds() + Long.MAX_VALUE / 2);
    return ShareLease.of(
        workspace.rate() / hosts, workspace.burst() / hosts, never, TokenOrder.NONE);
  }
}
