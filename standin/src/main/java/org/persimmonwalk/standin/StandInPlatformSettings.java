package org.persimmonwalk.standin;

import java.util.Objects;
import org.persimmonwalk.port.MonotonicClock;

/**
 * The initial settings of a stand-in platform.
 *
 * @param port the port; 0 selects a free one
 * @param maximumRequestBytes the largest request body accepted; larger ones get status 413
 * @param clock the clock that measures the lag of the host list
 */
public record StandInPlatformSettings(int port, int maximumRequestBytes, MonotonicClock clock) {
  private static final int DEFAULT_REQUEST_BYTES = 1024 * 1024;

  /** Checks the ranges of the port and the request size. */
  public StandInPlatformSettings {
    Objects.requireNonNull(clock, "clock");
    if (port < 0 || maximumRequestBytes < 1) {
      throw new IllegalArgumentException(
          "the port must be at least 0 and the request size at least 1, not "
              + port
              + " and "
              + maximumRequestBytes);
    }
  }

  /** Returns settings with a free port and requests of at most 1 MiB. */
  public static StandInPlatformSettings create() {
    return new StandInPlatformSettings(0, DEFAULT_REQUEST_BYTES, MonotonicClock.system());
  }

  /** Returns the settings with another port. */
  public StandInPlatformSettings withPort(int other) {
    return new StandInPlatformSettings(other, maximumRequestBytes, clock);
  }

  /** Returns the settings with another maximum size of request bodies. */
  public StandInPlatformSettings withMaximumRequestBytes(int other) {
    return new StandInPlatformSettings(port, other, clock);
  }

  /** Returns the settings with another clock. */
  public StandInPlatformSettings withClock(MonotonicClock other) {
    return new StandInPlatformSettings(port, maximumRequestBytes, other);
  }
}
