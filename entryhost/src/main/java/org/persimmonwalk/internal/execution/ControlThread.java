package org.persimmonwalk.internal.execution;

import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.id.EntryHostId;
import org.tinylog.Logger;

/** The one thread that runs a host's control loop. */
public final class ControlThread {
  /** Timers of the controllers are checked at least this often. */
  private static final Duration LONGEST_ROUND_GAP = Duration.ofMillis(20);

  private static final long STOP_TIMEOUT_SECONDS = 5;

  private final ExecutorService executor;

  private ControlThread(ExecutorService executor) {
    this.executor = executor;
  }

  /** Starts the thread. */
  public static ControlThread start(ControlLoop loop, EntryHostId host) {
    ExecutorService executor =
        Executors.newSingleThreadExecutor(task -> new Thread(task, "control-" + host));
    executor.execute(() -> run(loop));
    return new ControlThread(executor);
  }

  /** Ends the thread after the round that runs. */
  public void stop() {
    executor.shutdownNow();
    try {
      if (!executor.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        Logger.warn("the control thread did not end within {} s", STOP_TIMEOUT_SECONDS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void run(ControlLoop loop) {
    while (!Thread.currentThread().isInterrupted()) {
      try {
        loop.awaitAndRunRound(LONGEST_ROUND_GAP);
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        Logger.error(e, "a control round failed; the next one goes on");
      }
    }
  }
}
