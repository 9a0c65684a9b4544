package org.persimmonwalk.internal.control.position;

import java.time.Duration;
import java.util.Objects;

/**
 * How often backend servers are probed.
 *
 * @param routineInterval the time between probes of a server when none is requested
 * @param minimumInterval the shortest time between probes of a server, also when one is requested
 * @param probeTimeout the time after which a probe without a result counts as failed
 */
public record SamplingSettings(
    Duration routineInterval, Duration minimumInterval, Duration probeTimeout) {

  /** Checks that all parts are present. */
  public SamplingSettings {
    Objects.requireNonNull(routineInterval, "routineInterval");
    Objects.requireNonNull(minimumInterval, "minimumInterval");
    Objects.requireNonNull(probeTimeout, "probeTimeout");
  }

  /**
   * Returns the default settings: a probe every 200 ms, on request every 5 ms at most, and a
   * timeout of 500 ms.
   */
  public static SamplingSettings defaults() {
    return new SamplingSettings(
        Duration.ofMillis(200), Duration.ofMillis(5), Duration.ofMillis(500));
  }

  /** Returns the settings with another routine interval. */
  public SamplingSettings withRoutineInterval(Duration interval) {
    return new SamplingSettings(interval, minimumInterval, probeTimeout);
  }
}
