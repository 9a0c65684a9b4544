package org.persimmonwalk.blackboard;

import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The one thread that runs a host's control loop. */
public final class ControlThread {
  private static final long STOP_TIMEOUT_SECONDS = 5;

  private final ExecutorService executor;

  private ControlThread(ExecutorService executor) {
    this.executor = executor;
  }

  /**
   * Starts the thread.
   *
   * @param longestGap timers of the controllers are checked at least this often
   * @param name the name of the thread
   * @param failures is told of each round that failed; the next round goes on
   */
  public static ControlThread start(
      ControlLoop loop, Duration longestGap, String name, Consumer<RuntimeException> failures) {
    ExecutorService executor = Executors.newSingleThreadExecutor(task -> new Thread(task, name));
    executor.execute(() -> run(loop, longestGap, failures));
    return new ControlThread(executor);
  }

  /**
   * Ends the thread after the round that runs.
   *
   * @return whether the thread ended within 5 s
   */
  public boolean stop() {
    executor.shutdownNow();
    try {
      return executor.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private static void run(
      ControlLoop loop, Duration longestGap, Consumer<RuntimeException> failures) {
    while (!Thread.currentThread().isInterrupted()) {
      try {
        loop.awaitAndRunRound(longestGap);
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        failures.accept(e);
      }
    }
  }
}
