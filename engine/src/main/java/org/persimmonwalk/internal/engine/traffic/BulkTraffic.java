package org.persimmonwalk.internal.engine.traffic;

import java.util.HashMap;
import java.util.Map;
import org.persimmonwalk.model.MonotonicTime;

/**
 * What this host knows of a server for the order of urgent and bulk work: the wait in its queue,
 * and for each priority that must leave headroom the limit and the statements in flight.
 */
final class BulkTraffic {
  private final QueueWait queueWait = new QueueWait();
  private final Map<Integer, BulkLimit> limits = new HashMap<>();
  private final Map<Integer, Integer> inFlight = new HashMap<>();

  QueueWait queueWait() {
    return queueWait;
  }

  BulkLimit limit(int priority) {
    return limits.computeIfAbsent(priority, unused -> new BulkLimit());
  }

  int inFlight(int priority) {
    return inFlight.getOrDefault(priority, 0);
  }

  void recordStart(int priority) {
    inFlight.merge(priority, 1, Integer::sum);
  }

  void recordEnd(int priority) {
    inFlight.merge(priority, -1, Integer::sum);
  }

  /** Returns when a statement of the priority may be sent; now if it may be at once. */
  MonotonicTime opensAt(int priority, BulkLimit.Load load, MonotonicTime now) {
    return limit(priority).opensAt(load, inFlight(priority), now);
  }
}
