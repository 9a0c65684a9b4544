package org.persimmonwalk.engine.control;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.SocketEndpoint;

/**
 * The settings that the controllers and the traffic thread need.
 *
 * @param zones the zones of the fleet, with the host's own
 * @param peerEndpoint the endpoint at which the other hosts reach this one
 * @param keyRevocation the time within which a withdrawn key must stop working
 * @param rateWindow the length of the window over which rate limits hold
 * @param rateOverage the fraction of the limit by which a window may exceed it
 * @param rateSlack the number of operations by which a window may exceed the limit in addition
 * @param stopGrace the time between the request to stop and the forced exit
 * @param bounds the times that are promised for the whole fleet
 * @param sessionLimits how much the sessions of the host may hold
 * @param strength how well the host is suited to be the relay; empty if that is not known
 * @param coldBounds how many requests a cold server may get; empty if they are not limited
 */
public record EngineSettings(
    EntryHostId host,
    AvailabilityZone zone,
    Set<AvailabilityZone> zones,
    SocketEndpoint peerEndpoint,
    Duration keyRevocation,
    Duration rateWindow,
    double rateOverage,
    double rateSlack,
    Duration stopGrace,
    ServiceBounds bounds,
    SessionLimits sessionLimits,
    Optional<HostStrength> strength,
    Optional<ColdBounds> coldBounds) {

  /** Makes the set immutable and checks that it has the host's own zone. */
  public EngineSettings {
    zones = Set.copyOf(zones);
    if (!zones.contains(zone)) {
      throw new IllegalArgumentException("the zone " + zone + " is not one of the zones " + zones);
    }
  }

  /** Returns these settings with a limit for the requests to cold servers. */
  public EngineSettings withColdBounds(ColdBounds cold) {
    return new EngineSettings(
        host,
        zone,
        zones,
        peerEndpoint,
        keyRevocation,
        rateWindow,
        rateOverage,
        rateSlack,
        stopGrace,
        bounds,
        sessionLimits,
        strength,
        Optional.of(cold));
  }

  /** Returns the intervals and timeouts that follow from the bounds. */
  public EngineTimings timings() {
    return EngineTimings.of(bounds);
  }
}
