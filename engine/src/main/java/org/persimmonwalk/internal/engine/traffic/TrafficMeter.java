package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;

/**
 * Metrics of the traffic thread, which calls it for each statement; implementations must be fast.
 */
public interface TrafficMeter {

  /** Counts an event, for example {@code statement.retried}. */
  void count(String event);

  /** Records a duration, for example {@code statement.latency}. */
  void time(String event, Duration duration);

  /** Sets the present value of a measure, for example {@code server.load.busiest-to-mean}. */
  default void gauge(String measure, double value) {}
}
