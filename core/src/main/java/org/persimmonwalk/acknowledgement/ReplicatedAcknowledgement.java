package org.persimmonwalk.acknowledgement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.blackboard.SnapshotListener;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.GroupView;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.observation.SampleRequested;

/**
 * Delays the acknowledgement of each write until a replica of the same term has received it. A
 * write to a group of one server needs no replica. Traffic threads register writes, and the control
 * thread completes them when it publishes a snapshot. Thread-safe; callbacks run on the calling
 * thread, outside the lock.
 *
 * <p>Example:
 *
 * <pre>{@code
 * ReplicatedAcknowledgement acknowledgement = ReplicatedAcknowledgement.of(10_000, loop::post);
 * loop.addListener(acknowledgement);
 * acknowledgement.register(
 *     new PendingWrite(group, position, deadline, outcome -> answer(outcome)), now);
 * }</pre>
 */
public final class ReplicatedAcknowledgement implements AcknowledgementPolicy, SnapshotListener {
  /**
   * Minimum time between two requests for samples of a group. Equals the shortest interval at which
   * servers are probed on request.
   */
  private static final Duration REQUEST_INTERVAL = Duration.ofMillis(5);

  private final Object lock = new Object();
  private final List<PendingWrite> pending = new ArrayList<>();
  private final Map<DatabaseGroupId, MonotonicTime> requestedAt = new HashMap<>();
  private final int limit;
  private final Consumer<Observation> observations;
  private Optional<Snapshot> latestSnapshot = Optional.empty();

  private ReplicatedAcknowledgement(int limit, Consumer<Observation> observations) {
    this.limit = limit;
    this.observations = observations;
  }

  /**
   * Returns a policy without waiting writes.
   *
   * @param limit the maximum number of waiting writes; the outcome of any further one is unknown
   * @param observations receives requests for samples while writes wait
   */
  public static ReplicatedAcknowledgement of(int limit, Consumer<Observation> observations) {
    return new ReplicatedAcknowledgement(limit, observations);
  }

  /** Returns the number of waiting writes; at the limit, no further write should be sent. */
  public int pendingWrites() {
    synchronized (lock) {
      return pending.size();
    }
  }

  @Override
  public void register(PendingWrite write, MonotonicTime now) {
    Optional<AcknowledgementOutcome> outcome;
    boolean request = false;
    synchronized (lock) {
      outcome = latestSnapshot.flatMap(snapshot -> decide(snapshot, write, now));
      if (outcome.isEmpty() && pending.size() >= limit) {
        outcome = Optional.of(AcknowledgementOutcome.UNKNOWN);
      }
      if (outcome.isEmpty()) {
        pending.add(write);
        request = startRequestIfDue(write.group(), now);
      }
    }
    if (request) {
      observations.accept(new SampleRequested(write.group()));
    }
    outcome.ifPresent(write.callback());
  }

  @Override
  public void onPublished(Snapshot snapshot) {
    synchronized (lock) {
      latestSnapshot = Optional.of(snapshot);
    }
    completeWrites(snapshot, snapshot.roundStartedAt());
  }

  /**
   * Completes the waiting writes whose deadline has passed, without waiting for the next snapshot.
   * Timers of traffic threads may call it.
   */
  public void expire(MonotonicTime now) {
    Optional<Snapshot> snapshot;
    synchronized (lock) {
      snapshot = latestSnapshot;
    }
    snapshot.ifPresent(known -> completeWrites(known, now));
  }

  private void completeWrites(Snapshot snapshot, MonotonicTime now) {
    List<Runnable> callbacks = new ArrayList<>();
    Set<DatabaseGroupId> requests = new HashSet<>();
    synchronized (lock) {
      for (Iterator<PendingWrite> writes = pending.iterator(); writes.hasNext(); ) {
        PendingWrite write = writes.next();
        Optional<AcknowledgementOutcome> outcome = decide(snapshot, write, now);
        if (outcome.isPresent()) {
          writes.remove();
          callbacks.add(() -> write.callback().accept(outcome.get()));
        } else if (startRequestIfDue(write.group(), now)) {
          requests.add(write.group());
        }
      }
    }
    requests.forEach(group -> observations.accept(new SampleRequested(group)));
    callbacks.forEach(Runnable::run);
  }

  /** Returns the outcome of a write; empty if the write has to wait. */
  private static Optional<AcknowledgementOutcome> decide(
      Snapshot snapshot, PendingWrite write, MonotonicTime now) {
    GroupView group = snapshot.get(Entries.GROUPS).get(write.group());
    boolean primaryReplaced = group != null && group.term().isAfter(write.position().term());
    if (primaryReplaced || !now.isBefore(write.deadline())) {
      return Optional.of(AcknowledgementOutcome.UNKNOWN);
    }
    boolean confirmed =
        group != null
            && (group.servers().size() == 1 || group.isReceivedByReplica(write.position()));
    return confirmed ? Optional.of(AcknowledgementOutcome.CONFIRMED) : Optional.empty();
  }

  /** Returns whether a request for samples of the group is due; if so, records it as sent now. */
  private boolean startRequestIfDue(DatabaseGroupId group, MonotonicTime now) {
    MonotonicTime last = requestedAt.get(group);
    if (last != null && now.since(last).compareTo(REQUEST_INTERVAL) < 0) {
      return false;
    }
    requestedAt.put(group, now);
    return true;
  }
}
