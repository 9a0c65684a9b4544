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
 * Serves workspaces by weighted deficit round robin; the cost of a statement is its expected
 * service time. A workspace that uses less than its share keeps a bounded credit, so that a short
 * burst of it does not wait behind a workspace that always has statements waiting.
 *
 * <p>Inside a workspace the order is urgency, then deadline, then arrival. An urgent statement of a
 * workspace inside its share goes before bulk statements of any workspace, at most at every second
 * dispatch. A statement whose deadline the measured progress of its workspace does not allow is
 * refused when it arrives. When the queue is full, the workspace with the longest queue loses its
 * newest, least urgent entry.
 *
 * @param <T> the type of the payload
 */
public final class FairQueue<T> implements RequestQueue<T> {
  /** Cost per round and weight. It is less than most statements cost, so that turns stay even. */
  private static final double QUANTUM_NANOSECONDS = 1e6;

  /**
   * Credit that a workspace keeps per weight. With 200 ms, random bursts of large workspaces inside
   * their rate used it up and their 99th percentile was up to 2.7 times as long.
   */
  private static final double MAXIMUM_CREDIT_NANOSECONDS = 800e6;

  private final int capacity;
  private final WorkspaceWeights weights;
  private final ServiceTimes serviceTimes;

  /** Workspaces in the order of their turns; one that has used its turn moves to the end. */
  private final Map<WorkspaceId, WorkspaceQueue<T>> workspaces = new LinkedHashMap<>();

  private final Map<QueuedRequest<T>, Entry<T>> entries = new IdentityHashMap<>();
  private final TreeSet<Entry<T>> byDeadline =
      new TreeSet<>(
          Comparator.<Entry<T>, MonotonicTime>comparing(entry -> entry.request().deadline())
              .thenComparingLong(Entry::sequence));
  private long nextSequence;
  private boolean lastByPrecedence;

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
   * @param serviceTimes the measured costs, which the scheduler of the queue keeps up to date
   */
  public static <T> FairQueue<T> of(
      int capacity, WorkspaceWeights weights, ServiceTimes serviceTimes) {
    return new FairQueue<>(capacity, weights, serviceTimes);
  }

  @Override
  public List<RefusedRequest<T>> offer(QueuedRequest<T> request, MonotonicTime now) {
    double cost = serviceTimes.expected(request, now).toNanos();
    Entry<T> entry = new Entry<>(request, cost, nextSequence++);
    WorkspaceQueue<T> own = workspaces.computeIfAbsent(request.workspace(), this::create);
    if (isUnreachable(entry, own.estimatedWait(entry), now)) {
      return List.of(RefusedRequest.deadlineUnreachable(request));
    }
    own.add(entry, now);
    entries.put(request, entry);
    byDeadline.add(entry);
    if (entries.size() <= capacity) {
      return List.of();
    }
    Entry<T> loser = longest().leastUrgent();
    discard(loser);
    return List.of(RefusedRequest.queueFull(loser.request()));
  }

  @Override
  public PollResult<T> poll(MonotonicTime now) {
    return poll(now, () -> entries.isEmpty() ? Optional.empty() : Optional.of(choose()));
  }

  @Override
  public PollResult<T> pollInsideShare(MonotonicTime now) {
    return poll(now, () -> firstOf(WorkspaceQueue::isInsideShare).map(WorkspaceQueue::first));
  }

  private PollResult<T> poll(MonotonicTime now, Supplier<Optional<Entry<T>>> choice) {
    List<RefusedRequest<T>> refused = expire(now);
    Optional<Entry<T>> entry = choice.get();
    while (entry.isPresent() && isUnreachable(entry.get(), 0, now)) {
      discard(entry.get());
      refused.add(RefusedRequest.deadlineUnreachable(entry.get().request()));
      entry = choice.get();
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

  /** Returns the entry whose turn it is; starts the next round if no workspace has credit. */
  private Entry<T> choose() {
    Optional<WorkspaceQueue<T>> eligible = firstOf(WorkspaceQueue::isEligible);
    if (eligible.isEmpty()) {
      advanceRounds();
      eligible = firstOf(WorkspaceQueue::isEligible);
    }
    Entry<T> turn = eligible.orElseThrow().first();
    if (turn.request().urgency() == Urgency.BULK && !lastByPrecedence) {
      Optional<Entry<T>> urgent =
          firstOf(queue -> queue.isEligible() && isUrgent(queue)).map(WorkspaceQueue::first);
      lastByPrecedence = urgent.isPresent();
      return urgent.orElse(turn);
    }
    lastByPrecedence = false;
    return turn;
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
    workspaces.values().removeIf(WorkspaceQueue::isSettled);
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

  private WorkspaceQueue<T> longest() {
    return workspaces.values().stream()
        .max(Comparator.comparingInt(WorkspaceQueue::size))
        .orElseThrow();
  }
}
