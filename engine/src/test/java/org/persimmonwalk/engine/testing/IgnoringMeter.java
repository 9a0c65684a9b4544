package org.persimmonwalk.engine.testing;

import java.time.Duration;
import org.persimmonwalk.internal.engine.traffic.TrafficMeter;

/** Ignores what is counted and measured. */
final class IgnoringMeter implements TrafficMeter {
  @Override
  public void count(String event) {}

  @Override
  public void time(String event, Duration duration) {}
}
