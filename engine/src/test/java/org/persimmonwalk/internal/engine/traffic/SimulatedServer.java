package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import org.persimmonwalk.engine.testing.FakeScheduler;

/**
 * The slots and the queue of a simulated backend server: it runs as many statements at once as it
 * has slots, and keeps others in order of arrival.
 */
final class SimulatedServer {
  int received;

  /** By how much its statements take longer than usual. */
  double slowness = 1;

  private final FakeScheduler scheduler;
  private final int queueLimit;
  private final Queue<Runnable> waiting = new ArrayDeque<>();
  private int freeSlots;

  private SimulatedServer(FakeScheduler scheduler, int slots, int queueLimit) {
    this.scheduler = scheduler;
    this.freeSlots = slots;
    this.queueLimit = queueLimit;
  }

  /** Returns a server that queues any number of statements. */
  static SimulatedServer ofSlots(FakeScheduler scheduler, int slots) {
    return new SimulatedServer(scheduler, slots, Integer.MAX_VALUE);
  }

  /** Returns a server whose queue is limited. */
  static SimulatedServer ofQueue(FakeScheduler scheduler, int slots, int queueLimit) {
    return new SimulatedServer(scheduler, slots, queueLimit);
  }

  /** Runs work that takes a slot for the given time, or returns false if the queue is full. */
  boolean run(double millis, Runnable done) {
    if (freeSlots == 0) {
      return waiting.size() < queueLimit && waiting.add(() -> start(millis, done));
    }
    start(millis, done);
    return true;
  }

  private void start(double millis, Runnable done) {
    freeSlots--;
    scheduler.schedule(
        Duration.ofNanos((long) (millis * 1e6)),
        () -> {
          freeSlots++;
          done.run();
          Runnable next = waiting.poll();
          if (next != null) {
            next.run();
          }
        });
  }
}
