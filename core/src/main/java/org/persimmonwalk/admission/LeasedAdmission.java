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
 * Admits statements within the part of a workspace's rate and burst that this host has leased.
 *
 * <p>Traffic threads call {@link #admit}; the control thread calls {@link #onPublished}. The policy
 * has to be registered with the control loop: a lowered lease then takes effect before the commands
 * of the same round are executed, even if a traffic thread still holds an older snapshot.
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

  /** Returns a policy that reports demand and executed token orders to the given consumer. */
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
  public void onPublished(Snapshot snapshot) {
    snapshot.get(Entries.SHARES).keySet().forEach(workspace -> bucket(workspace, snapshot));
    buckets.forEach(
        (workspace, bucket) -> {
          apply(bucket, workspace, snapshot);
          bucket.measure(snapshot.roundStartedAt()).ifPresent(observations);
        });
  }

  private TokenBucket bucket(WorkspaceId workspace, Snapshot snapshot) {
    return buckets.computeIfAbsent(
        workspace, absent -> TokenBucket.empty(absent, snapshot.roundStartedAt()));
  }

  private void apply(TokenBucket bucket, WorkspaceId workspace, Snapshot snapshot) {
    Optional<ShareLease> lease = Optional.ofNullable(snapshot.get(Entries.SHARES).get(workspace));
    bucket.apply(snapshot.round(), lease, snapshot.roundStartedAt()).ifPresent(observations);
  }
}
