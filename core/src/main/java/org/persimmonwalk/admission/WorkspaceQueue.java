package org.persimmonwalk.admission;

import java.util.Comparator;
import java.util.TreeSet;
import org.persimmonwalk.model.MonotonicTime;

/** The waiting requests of one workspace in a {@link FairQueue}, its credit and service rate. */
final class WorkspaceQueue<T> {
  /** Time with waiting requests in which older measurements lose half of their weight. */
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

  /** Returns the newest of the least urgent entries; the queue must not be empty. */
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

  /** Removes an entry that is to start, charges its cost and measures the service rate. */
  void serve(Entry<T> entry, MonotonicTime now) {
    entries.remove(entry);
    credit -= entry.cost();
    double elapsed = now.since(waitingSince).toNanos();
    double decay = Math.pow(0.5, elapsed / HALF_LIFE_NANOSECONDS);
    servedCost = servedCost * decay + entry.cost();
    servedTime = servedTime * decay + elapsed;
    waitingSince = now;
  }

  /**
   * Returns how many nanoseconds the entry is expected to wait at the measured service rate; 0 if
   * the credit covers the entries before it or nothing has been measured.
   */
  double estimatedWait(Entry<T> entry) {
    double ahead = entries.headSet(entry).stream().mapToDouble(Entry::cost).sum();
    return servedCost > 0 && ahead > credit ? ahead * servedTime / servedCost : 0;
  }

  /** Returns whether the workspace may be served in this round. */
  boolean isEligible() {
    return credit > 0;
  }

  /** Returns whether the workspace has used less than its share and has credit left over. */
  boolean isBelowShare() {
    return credit > quantum;
  }

  /** Returns whether the queue is empty and has the credit of a new one, and can be discarded. */
  boolean isRemovable() {
    return entries.isEmpty() && credit >= maximumCredit;
  }

  /** Returns how many rounds have to pass until the workspace may be served. */
  long roundsUntilEligible() {
    return isEligible() ? 0 : (long) (-credit / quantum) + 1;
  }

  void addRounds(long rounds) {
    credit = Math.min(maximumCredit, credit + rounds * quantum);
  }

  /** A waiting request with its cost in nanoseconds and its sequence number by arrival. */
  record Entry<T>(QueuedRequest<T> request, double cost, long sequence) {}
}
