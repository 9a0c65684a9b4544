package org.persimmonwalk.store;

import java.time.Duration;
import java.util.Objects;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.model.SocketEndpoint;

/**
 * How to reach the platform.
 *
 * @param endpoint the address of the platform
 * @param zone the zone of this process, which each request states
 * @param timeout the time within which a request must be answered completely
 * @param maximumInFlight the requests that may wait for an answer at once
 * @param maximumResponseBytes the largest answer accepted
 */
public record PlatformSettings(
    SocketEndpoint endpoint,
    AvailabilityZone zone,
    Duration timeout,
    int maximumInFlight,
    int maximumResponseBytes) {
  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(1);
  private static final int DEFAULT_IN_FLIGHT = 64;

  /** Bounds the memory of answers in flight; a configuration of the target size fits. */
  private static final int DEFAULT_RESPONSE_BYTES = 4 * 1024 * 1024;

  /** Checks the numbers. */
  public PlatformSettings {
    Objects.requireNonNull(endpoint, "endpoint");
    Objects.requireNonNull(zone, "zone");
    if (timeout.isNegative() || timeout.isZero()) {
      throw new IllegalArgumentException("the platform's timeout must be positive");
    }
    if (maximumInFlight < 1 || maximumResponseBytes < 1) {
      throw new IllegalArgumentException("the platform's limits must be at least 1");
    }
  }

  /** Returns settings with a timeout of 1 s, 64 requests in flight and answers up to 4 MiB. */
  public static PlatformSettings of(SocketEndpoint endpoint, AvailabilityZone zone) {
    return new PlatformSettings(
        endpoint, zone, DEFAULT_TIMEOUT, DEFAULT_IN_FLIGHT, DEFAULT_RESPONSE_BYTES);
  }

  /** Returns the settings with another timeout. */
  public PlatformSettings withTimeout(Duration other) {
    return new PlatformSettings(endpoint, zone, other, maximumInFlight, maximumResponseBytes);
  }

  /** Returns the settings with other limits. */
  public PlatformSettings withLimits(int otherInFlight, int otherResponseBytes) {
    return new PlatformSettings(endpoint, zone, timeout, otherInFlight, otherResponseBytes);
  }
}
