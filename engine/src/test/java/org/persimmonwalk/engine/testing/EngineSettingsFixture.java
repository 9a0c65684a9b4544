package org.persimmonwalk.engine.testing;

import java.time.Duration;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.HostStrength;
import org.persimmonwalk.engine.control.ServiceBounds;
import org.persimmonwalk.engine.control.SessionLimits;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.SocketEndpoint;

/** Settings of simulated entry hosts. */
public final class EngineSettingsFixture {
  /** Bounds of the kind that small deployments have. */
  public static final ServiceBounds USUAL_BOUNDS =
      new ServiceBounds(
          Duration.ofMillis(7000),
          Duration.ofMillis(3000),
          Duration.ofMillis(4000),
          Duration.ofMillis(1200),
          Duration.ofMillis(300),
          Optional.empty());

  /** The same in a deployment whose operators evacuate zones. */
  public static final ServiceBounds BOUNDS_WITH_EVACUATION =
      new ServiceBounds(
          USUAL_BOUNDS.drain(),
          USUAL_BOUNDS.configurationApply(),
          Duration.ofMillis(5000),
          USUAL_BOUNDS.heartbeat(),
          USUAL_BOUNDS.resumeSlack(),
          Optional.of(Duration.ofMillis(5000)));

  private static final int ADDRESSES_PER_NETWORK = 256;

  private EngineSettingsFixture() {}

  /** Returns the name of the host with the given number. */
  public static String name(int number) {
    return "host" + number;
  }

  private static final long HEAP_BYTES = 48L * 1024 * 1024;

  private static AvailabilityZone zone(int number) {
    return AvailabilityZone.of(String.valueOf((char) ('a' + number)));
  }

  /** Returns the settings of the host with the given number, in one of the given zones. */
  public static EngineSettings of(int number, int zoneCount, ServiceBounds bounds) {
    return of(number, zoneCount, bounds, Optional.empty());
  }

  /** Returns settings as above of a host with the given strength. */
  public static EngineSettings of(
      int number, int zoneCount, ServiceBounds bounds, Optional<HostStrength> strength) {
    String address =
        "10.1." + number / ADDRESSES_PER_NETWORK + "." + number % ADDRESSES_PER_NETWORK;
    return new EngineSettings(
        EntryHostId.of(name(number)),
        zone(number % zoneCount),
        IntStream.range(0, zoneCount)
            .mapToObj(EngineSettingsFixture::zone)
            .collect(Collectors.toSet()),
        SocketEndpoint.of(address, 1),
        Duration.ofMillis(5000),
        Duration.ofSeconds(5),
        0.1,
        20,
        Duration.ofSeconds(6),
        bounds,
        SessionLimits.of(HEAP_BYTES),
        strength,
        Optional.empty());
  }
}
