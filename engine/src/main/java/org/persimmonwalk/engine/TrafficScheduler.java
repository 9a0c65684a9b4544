package org.persimmonwalk.engine;

import java.time.Duration;

/** Runs actions on the traffic thread later. */
public interface TrafficScheduler {

  /** Runs an action after the given time; the result cancels it. */
  Runnable schedule(Duration delay, Runnable action);
}
