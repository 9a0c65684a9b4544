package org.persimmonwalk.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.persimmonwalk.admission.WorkspaceQueue.Entry;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Serves workspaces by weighted deficit round robin. The cost of a statement is its expected
 * service time. A workspace that uses less than its share accumulates a bounded credit, so that a
 * short burst of it does not wait behind a workspace that always has statements waiting.
 *
 * <p>Within a workspace the order is urgency, then deadline, then arrival. An urgent statement of a
 * workspace with credit goes before bulk statements of any workspace, but at most at every second
 * dispatch. A statement that would miss its deadline at the rate at which its workspace was served
 * recently is refused on arrival. When the queue is full, the workspace with the longest queue
 * loses the newest of its least urgent statements.
 *
 * @param <T> the type of the payload
 */
public final class FairQueue<T> implements RequestQueue<T> {
  /**
   * Credit per round and unit of weight. It is below the cost of most statements, so that no
   * workspace starts many statements in a row.
   */
  private static final double QUANTUM_NANOSECONDS = 1e6;

  /**
   * Maximum credit per unit of weight. 200 ms was too little: random bursts of large workspaces
   * within their rate used it up, and their 99th percentile was up to 2.7 times as long.
   */
  private static final double MAXIMUM_CREDIT_NANOSECONDS = 800e6;

  private final int capacity;
  private final WorkspaceWeights weights;
  private final ServiceTimes serviceTimes;

  /** Workspaces in round-robin order; one that has used up its credit moves to the end. */
  private final Map<WorkspaceId, WorkspaceQueue<T>> workspaces = new LinkedHashMap<>();

  private final Map<QueuedRequest<T>, Entry<T>> entries = new IdentityHashMap<>();
  private final TreeSet<Entry<T>> byDeadline =
      new TreeSet<>(
          Comparator.<Entry<T>, MonotonicTime>comparing(entry -> entry.request().deadline())
              .thenComparingLong(Entry::sequence));
  private long nextSequence;

  /** Whether the last dispatch let an urgent statement go before a bulk one. */
  private boolean lastUrgentFirst;

  private FairQueue(int capacity, WorkspaceWeights weights, ServiceTimes serviceTimes) {
    this.capacity = capacity;
    this.weights = weights;
    this.serviceTimes = serviceTimes;
  }

  /**
   * Returns an empty queue.
   *
   * @param capacity the number of requests that may wait
   * @param weights the share of each workspace
   * @param serviceTimes the measured service times, which the {@link ServerScheduler} updates
   */
  public static <T> FairQueue<T> of(
      int capacity, WorkspaceWeights weights, ServiceTimes serviceTimes) {
    return new FairQueue<>(capacity, weights, serviceTimes);
  }

  @Override
  public List<RefusedRequest<T>> offer(QueuedRequest<T> request, MonotonicTime now) {
    double cost = serviceTimes.expected(request, now).toNanos();
    Entry<T> entry = new Entry<>(request, cost, nextSequence++);
    WorkspaceQueue<T> queue = workspaces.computeIfAbsent(request.workspace(), this::create);
    if (isUnreachable(entry, queue.estimatedWait(entry), now)) {
      return List.of(RefusedRequest.deadlineUnreachable(request));
    }
    queue.add(entry, now);
    entries.put(request, entry);
    byDeadline.add(entry);
    if (entries.size() <= capacity) {
      return List.of();
    }
    Entry<T> dropped = longestQueue().leastUrgent();
    discard(dropped);
    return List.of(RefusedRequest.queueFull(dropped.request()));
  }

  @Override
  public PollResult<T> poll(MonotonicTime now) {
    return poll(now, () -> entries.isEmpty() ? Optional.empty() : Optional.of(nextEntry()));
  }

  @Override
  public PollResult<T> pollBelowShare(MonotonicTime now) {
    return poll(now, () -> firstOf(WorkspaceQueue::isBelowShare).map(WorkspaceQueue::first));
  }

  private PollResult<T> poll(MonotonicTime now, Supplier<Optional<Entry<T>>> selection) {
    List<RefusedRequest<T>> refused = expire(now);
    Optional<Entry<T>> entry = selection.get();
    while (entry.isPresent() && isUnreachable(entry.get(), 0, now)) {
      discard(entry.get());
      refused.add(RefusedRequest.deadlineUnreachable(entry.get().request()));
      entry = selection.get();
    }
    entry.ifPresent(chosen -> serve(chosen, now));
    return new PollResult<>(entry.map(Entry::request), refused);
  }

  @Override
  public List<RefusedRequest<T>> expire(MonotonicTime now) {
    List<RefusedRequest<T>> refused = new ArrayList<>();
    while (!byDeadline.isEmpty() && !now.isBefore(byDeadline.first().request().deadline())) {
      Entry<T> entry = byDeadline.first();
      discard(entry);
      refused.add(RefusedRequest.deadlineUnreachable(entry.request()));
    }
    return refused;
  }

  @Override
  public boolean remove(QueuedRequest<T> request) {
    Entry<T> entry = entries.get(request);
    if (entry == null) {
      return false;
    }
    discard(entry);
    return true;
  }

  @Override
  public Optional<MonotonicTime> earliestDeadline() {
    return byDeadline.isEmpty()
        ? Optional.empty()
        : Optional.of(byDeadline.first().request().deadline());
  }

  @Override
  public int size() {
    return entries.size();
  }

  private WorkspaceQueue<T> create(WorkspaceId workspace) {
    double weight = weights.weight(workspace);
    return WorkspaceQueue.of(QUANTUM_NANOSECONDS * weight, MAXIMUM_CREDIT_NANOSECONDS * weight);
  }

  private static boolean isUnreachable(Entry<?> entry, double wait, MonotonicTime now) {
    double remaining = entry.request().deadline().since(now).toNanos();
    return wait + entry.cost() > remaining;
  }

  /** Returns the next entry to serve; starts new rounds first if no workspace has credit. */
  private Entry<T> nextEntry() {
    Optional<WorkspaceQueue<T>> eligible = firstOf(WorkspaceQueue::isEligible);
    if (eligible.isEmpty()) {
      advanceRounds();
      eligible = firstOf(WorkspaceQueue::isEligible);
    }
    Entry<T> next = eligible.orElseThrow().first();
    if (next.request().urgency() == Urgency.BULK && !lastUrgentFirst) {
      Optional<Entry<T>> urgent =
          firstOf(queue -> queue.isEligible() && isUrgent(queue)).map(WorkspaceQueue::first);
      lastUrgentFirst = urgent.isPresent();
      return urgent.orElse(next);
    }
    lastUrgentFirst = false;
    return next;
  }

  private static boolean isUrgent(WorkspaceQueue<?> queue) {
    return queue.first().request().urgency() == Urgency.URGENT;
  }

  private Optional<WorkspaceQueue<T>> firstOf(Predicate<WorkspaceQueue<T>> condition) {
    return workspaces.values().stream()
        .filter(queue -> !queue.isEmpty() && condition.test(queue))
        .findFirst();
  }

  private void advanceRounds() {
    long rounds =
        workspaces.values().stream()
            .filter(queue -> !queue.isEmpty())
            .mapToLong(WorkspaceQueue::roundsUntilEligible)
            .min()
            .orElse(0);
    workspaces.values().forEach(queue -> queue.addRounds(rounds));
    workspaces.values().removeIf(WorkspaceQueue::isRemovable);
  }

  private void serve(Entry<T> entry, MonotonicTime now) {
    WorkspaceId workspace = entry.request().workspace();
    WorkspaceQueue<T> queue = workspaces.get(workspace);
    queue.serve(entry, now);
    entries.remove(entry.request());
    byDeadline.remove(entry);
    if (!queue.isEligible()) {
      workspaces.remove(workspace);
      workspaces.put(workspace, queue);
    }
  }

  private void discard(Entry<T> entry) {
    workspaces.get(entry.request().workspace()).remove(entry);
    entries.remove(entry.request());
    byDeadline.remove(entry);
  }

  private WorkspaceQueue<T> longestQueue() {
    return workspaces.values().stream()
        .max(Comparator.comparingInt(WorkspaceQueue::size))
        .orElseThrow();
  }
}
