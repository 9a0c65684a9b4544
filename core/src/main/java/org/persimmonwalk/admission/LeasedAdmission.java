package org.persimmonwalk.admission;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.blackboard.SnapshotListener;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ShareLease;

/**
 * Admits statements from this host's leased part of the workspace's rate and burst.
 *
 * <p>It must listen to the control loop: a lowered lease is then in force before the commands of
 * the same round are carried out, whichever older snapshot a traffic thread still holds.
 *
 * <p>Example:
 *
 * <pre>{@code
 * LeasedAdmission admission = LeasedAdmission.of(loop::post);
 * loop.addListener(admission);
 * boolean admitted = admission.admit(loop.snapshot(), workspace, clock.now());
 * }</pre>
 */
public final class LeasedAdmission implements AdmissionPolicy, SnapshotListener {
  private final Consumer<Observation> observations;
  private final Map<WorkspaceId, TokenBucket> buckets = new ConcurrentHashMap<>();

  private LeasedAdmission(Consumer<Observation> observations) {
    this.observations = observations;
  }

  /** Returns a policy that reports demand and moved tokens to the given consumer. */
  public static LeasedAdmission of(Consumer<Observation> observations) {
    return new LeasedAdmission(Objects.requireNonNull(observations, "observations"));
  }

  @Override
  public boolean admit(Snapshot snapshot, WorkspaceId workspace, MonotonicTime now) {
    if (!snapshot.get(Entries.CONFIGURATION).workspaces().containsKey(workspace)) {
      return false;
    }
    TokenBucket bucket = bucket(workspace, snapshot);
    apply(bucket, workspace, snapshot);
    boolean admitted = bucket.admit(now);
    bucket.measure(now).ifPresent(observations);
    return admitted;
  }

  @Override
  public void published(Snapshot snapshot) {
    snapshot.get(Entries.SHARES).keySet().forEach(workspace -> bucket(workspace, snapshot));
    buckets.forEach(
        (workspace, bucket) -> {
          apply(bucket, workspace, snapshot);
          bucket.measure(snapshot.publishedAt()).ifPresent(observations);
        });
  }

  private TokenBucket bucket(WorkspaceId workspace, Snapshot snapshot) {
    return buckets.computeIfAbsent(
        workspace, absent -> TokenBucket.empty(absent, snapshot.publishedAt()));
  }

  private void apply(TokenBucket bucket, WorkspaceId workspace, Snapshot snapshot) {
    Optional<ShareLease> lease = Optional.ofNullable(snapshot.get(Entries.SHARES).get(workspace));
    bucket.apply(snapshot.round(), lease, snapshot.publishedAt()).ifPresent(observations);
  }
}
