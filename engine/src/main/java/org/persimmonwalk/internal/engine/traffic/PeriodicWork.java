package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.Arrays;

/** Runs a task on the traffic thread at a fixed pause, also after it has failed. */
final class PeriodicWork {
  private final TrafficContext context;
  private final Duration pause;
  private final Runnable task;

  private PeriodicWork(TrafficContext context, Duration pause, Runnable task) {
    this.context = context;
    this.pause = pause;
    this.task = task;
  }

  /** Runs the task after each pause, for as long as the traffic thread runs. */
  static void start(TrafficContext context, Duration pause, Runnable task) {
    new PeriodicWork(context, pause, task).schedule();
  }

  private void schedule() {
    context.scheduler().schedule(pause, this::run);
  }

  private void run() {
    try {
      task.run();
    } catch (RuntimeException e) {
      context.meter().count("periodic-work.failed");
      context
          .log()
          .write(
              "periodic-work-failed",
              "reason",
              e,
              "at",
              Arrays.stream(e.getStackTrace()).findFirst().map(String::valueOf).orElse("unknown"));
    } finally {
      schedule();
    }
  }
}
