package org.persimmonwalk.admission;

import java.util.Comparator;
import java.util.TreeSet;
import org.persimmonwalk.model.MonotonicTime;

/** The requests of one workspace in a {@link FairQueue}, its credit and its measured progress. */
final class WorkspaceQueue<T> {
  /** Measurements lose half of their weight in this time of continuous waiting. */
  private static final double HALF_LIFE_NANOSECONDS = 1e9;

  private final TreeSet<Entry<T>> entries =
      new TreeSet<>(
          Comparator.<Entry<T>, Urgency>comparing(entry -> entry.request().urgency())
              .thenComparing(entry -> entry.request().deadline())
              .thenComparingLong(Entry::sequence));
  private final double quantum;
  private final double maximumCredit;
  private double credit;
  private double servedCost;
  private double servedTime;
  private MonotonicTime waitingSince;

  private WorkspaceQueue(double quantum, double maximumCredit) {
    this.quantum = quantum;
    this.maximumCredit = maximumCredit;
    this.credit = maximumCredit;
  }

  static <T> WorkspaceQueue<T> of(double quantum, double maximumCredit) {
    return new WorkspaceQueue<>(quantum, maximumCredit);
  }

  void add(Entry<T> entry, MonotonicTime now) {
    if (entries.isEmpty()) {
      waitingSince = now;
    }
    entries.add(entry);
  }

  boolean remove(Entry<T> entry) {
    return entries.remove(entry);
  }

  Entry<T> first() {
    return entries.first();
  }

  /** Returns the newest of the least urgent entries. */
  Entry<T> leastUrgent() {
    Urgency least = entries.last().request().urgency();
    return entries.stream()
        .filter(entry -> entry.request().urgency() == least)
        .max(Comparator.comparingLong(Entry::sequence))
        .orElseThrow();
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  int size() {
    return entries.size();
  }

  /** Takes the entry out to be started, charges its cost and measures the workspace's progress. */
  void serve(Entry<T> entry, MonotonicTime now) {
    entries.remove(entry);
    credit -= entry.cost();
    double elapsed = now.since(waitingSince).toNanos();
    double decay = Math.pow(0.5, elapsed / HALF_LIFE_NANOSECONDS);
    servedCost = servedCost * decay + entry.cost();
    servedTime = servedTime * decay + elapsed;
    waitingSince = now;
  }

  /** Returns the nanoseconds that the entry has to wait at the measured progress, or 0. */
  double estimatedWait(Entry<T> entry) {
    double ahead = entries.headSet(entry).stream().mapToDouble(Entry::cost).sum();
    return servedCost > 0 && ahead > credit ? ahead * servedTime / servedCost : 0;
  }

  /** Returns whether the workspace may be served in this round. */
  boolean isEligible() {
    return credit > 0;
  }

  /** Returns whether the workspace has left over credit of earlier rounds. */
  boolean isInsideShare() {
    return credit > quantum;
  }

  /** Returns whether nothing would be lost if the workspace were forgotten. */
  boolean isSettled() {
    return entries.isEmpty() && credit >= maximumCredit;
  }

  /** Returns how many rounds have to pass until the workspace may be served. */
  long roundsUntilEligible() {
    return isEligible() ? 0 : (long) (-credit / quantum) + 1;
  }

  void addRounds(long rounds) {
    credit = Math.min(maximumCredit, credit + rounds * quantum);
  }

  /** A waiting request with its cost in nanoseconds and its place in the order of arrival. */
  record Entry<T>(QueuedRequest<T> request, double cost, long sequence) {}
}
