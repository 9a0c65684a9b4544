package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import org.persimmonwalk.engine.testing.FakeScheduler;

/** A backend server that runs a limited number of statements at once and queues the others. */
final class SimulatedServer {
  int received;

  /** By how much its statements take longer than usual. */
  double slowness = 1;

  private final FakeScheduler scheduler;
  private final Queue<Runnable> waiting = new ArrayDeque<>();
  private int freeSlots;

  SimulatedServer(FakeScheduler scheduler, int slots) {
    this.scheduler = scheduler;
    this.freeSlots = slots;
  }

  /** Runs a statement that takes a slot for the given time. */
  void run(double millis, Runnable done) {
    if (freeSlots == 0) {
      waiting.add(() -> run(millis, done));
      return;
    }
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
