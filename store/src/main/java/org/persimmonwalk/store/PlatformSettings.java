package org.persimmonwalk.store;

import java.time.Duration;
import java.util.Objects;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.model.SocketEndpoint;

/**
 * The platform's address and the limits of requests to it.
 *
 * @param endpoint the address of the platform
 * @param zone the zone of this process, sent with each request
 * @param timeout the longest time from sending a request to receiving its whole response
 * @param maximumInFlight the most requests that may wait for a response at the same time
 * @param maximumResponseBytes the largest response body accepted
 */
public record PlatformSettings(
    SocketEndpoint endpoint,
    AvailabilityZone zone,
    Duration timeout,
    int maximumInFlight,
    int maximumResponseBytes) {
  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(1);
  private static final int DEFAULT_IN_FLIGHT = 64;

  /** Limits the memory for responses in flight; a configuration of the target size fits. */
  private static final int DEFAULT_RESPONSE_BYTES = 4 * 1024 * 1024;

  /** Checks the endpoint, the zone and the limits. */
  public PlatformSettings {
    Objects.requireNonNull(endpoint, "endpoint");
    Objects.requireNonNull(zone, "zone");
    if (timeout.isNegative() || timeout.isZero()) {
      throw new IllegalArgumentException("the platform's timeout must be positive, not " + timeout);
    }
    if (maximumInFlight < 1 || maximumResponseBytes < 1) {
      throw new IllegalArgumentException(
          "maximumInFlight "
              + maximumInFlight
              + " and maximumResponseBytes "
              + maximumResponseBytes
              + " must be at least 1");
    }
  }

  /** Returns settings with the default limits: 1 s, 64 requests in flight, 4 MiB per response. */
  public static PlatformSettings of(SocketEndpoint endpoint, AvailabilityZone zone) {
    return new PlatformSettings(
        endpoint, zone, DEFAULT_TIMEOUT, DEFAULT_IN_FLIGHT, DEFAULT_RESPONSE_BYTES);
  }

  /** Returns a copy with the given timeout. */
  public PlatformSettings withTimeout(Duration other) {
    return new PlatformSettings(endpoint, zone, other, maximumInFlight, maximumResponseBytes);
  }

  /** Returns a copy with the given limits. */
  public PlatformSettings withLimits(int otherInFlight, int otherResponseBytes) {
    return new PlatformSettings(endpoint, zone, timeout, otherInFlight, otherResponseBytes);
  }
}
