package org.persimmonwalk.testing;

import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;

/** Runs code on a thread whose stack has the size that deployed processes use. */
public final class SmallStack {
  /** The value of the option -Xss in deploy/system.toml, in bytes. */
  private static final long STACK_BYTES = 256 * 1024;

  private SmallStack() {}

  /** Runs the action; throws what it throws. */
  public static void run(Runnable action) {
    FutureTask<Void> task = new FutureTask<>(action, null);
    Thread thread = new Thread(null, task, "small-stack", STACK_BYTES);
    thread.start();
    try {
      task.get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while the action ran", e);
    } catch (ExecutionException e) {
      if (e.getCause() instanceof Error error) {
        throw error;
      }
      throw new CompletionException(e.getCause());
    }
  }
}
