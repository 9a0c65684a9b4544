package org.persimmonwalk.engine;

import java.time.Duration;

/** Schedules actions on the traffic thread; may also be called from the control thread. */
public interface TrafficScheduler {

  /** Runs an action after the given delay; running the returned action cancels it. */
  Runnable schedule(Duration delay, Runnable action);
}
