package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;

/** Counts what the traffic thread does; implementations must be fast. */
public interface TrafficMeter {

  /** Counts an event, for example {@code statement.refused}. */
  void count(String event);

  /** Records how long something took. */
  void time(String event, Duration duration);
}
