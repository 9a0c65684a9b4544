package org.persimmonwalk.internal.standin.engine;

import java.time.Duration;

/** Schedules actions on the engine thread. */
public interface Timers {

  /** Runs the action after the delay unless the timer is cancelled before. */
  Timer schedule(Duration delay, Runnable action);

  /** A handle to a scheduled action. */
  interface Timer {

    /** Cancels the action if it has not run yet. */
    void cancel();
  }
}
