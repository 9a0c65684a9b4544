package org.persimmonwalk.internal.control.position;

import java.time.Duration;
import java.util.Objects;

/**
 * How often backend servers are probed.
 *
 * @param routineInterval the time between probes of a server when nothing asks for one
 * @param requestedInterval the shortest time between probes of a server on request
 * @param probeTimeout the time after which a probe without a result counts as failed
 */
public record SamplingSettings(
    Duration routineInterval, Duration requestedInterval, Duration probeTimeout) {

  /** Checks that all parts are present. */
  public SamplingSettings {
    Objects.requireNonNull(routineInterval, "routineInterval");
    Objects.requireNonNull(requestedInterval, "requestedInterval");
    Objects.requireNonNull(probeTimeout, "probeTimeout");
  }

  /** Returns 200 ms, 5 ms on request, and a timeout of 500 ms. */
  public static SamplingSettings defaults() {
    return new SamplingSettings(
        Duration.ofMillis(200), Duration.ofMillis(5), Duration.ofMillis(500));
  }

  /** Returns the settings with another routine interval. */
  public SamplingSettings withRoutineInterval(Duration interval) {
    return new SamplingSettings(interval, requestedInterval, probeTimeout);
  }
}
