package org.persimmonwalk.standin;

import java.util.Objects;
import org.persimmonwalk.port.MonotonicClock;

/**
 * How a stand-in platform starts.
 *
 * @param port the port, 0 for a free one
 * @param maximumRequestBytes the largest request body accepted; larger ones get status 413
 * @param clock the clock of the host list's lag
 */
public record StandInPlatformSettings(int port, int maximumRequestBytes, MonotonicClock clock) {
  private static final int DEFAULT_REQUEST_BYTES = 1024 * 1024;

  /** Checks the numbers. */
  public StandInPlatformSettings {
    Objects.requireNonNull(clock, "clock");
    if (port < 0 || maximumRequestBytes < 1) {
      throw new IllegalArgumentException("the port or the request size is out of range");
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

  /** Returns the settings with another limit of request bodies. */
  public StandInPlatformSettings withMaximumRequestBytes(int other) {
    return new StandInPlatformSettings(port, other, clock);
  }

  /** Returns the settings with another clock. */
  public StandInPlatformSettings withClock(MonotonicClock other) {
    return new StandInPlatformSettings(port, maximumRequestBytes, other);
  }
}
