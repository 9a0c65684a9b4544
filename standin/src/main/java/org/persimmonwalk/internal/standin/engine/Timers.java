package org.persimmonwalk.internal.standin.engine;

import java.time.Duration;

/** Runs actions later on the engine's thread. */
public interface Timers {

  /** Runs the action after the delay unless it is cancelled before. */
  Timer schedule(Duration delay, Runnable action);

  /** An action that has not run yet. */
  interface Timer {

    /** Keeps the action from running. */
    void cancel();
  }
}
