package org.persimmonwalk.blackboard;

import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The single thread that runs a host's control loop. */
public final class ControlThread {
  private static final long STOP_TIMEOUT_SECONDS = 5;

  private final ExecutorService executor;

  private ControlThread(ExecutorService executor) {
    this.executor = executor;
  }

  /**
   * Starts the thread.
   *
   * @param loop the loop to run
   * @param roundInterval the wait for an observation before a round that a controller needs without
   *     a time of its own; its timers are late by up to this time
   * @param name the name of the thread
   * @param failureHandler receives the exception of each round that failed; the rounds continue
   */
  public static ControlThread start(
      ControlLoop loop,
      Duration roundInterval,
      String name,
      Consumer<RuntimeException> failureHandler) {
    ExecutorService executor = Executors.newSingleThreadExecutor(task -> new Thread(task, name));
    executor.execute(() -> run(loop, roundInterval, failureHandler));
    return new ControlThread(executor);
  }

  /**
   * Interrupts the thread, which ends after the current round, and waits for it.
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
      ControlLoop loop, Duration roundInterval, Consumer<RuntimeException> failureHandler) {
    while (!Thread.currentThread().isInterrupted()) {
      try {
        loop.awaitAndRunRound(roundInterval);
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        failureHandler.accept(e);
      }
    }
  }
}
