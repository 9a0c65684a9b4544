package org.persimmonwalk.engine.control;

import java.time.Duration;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.SocketEndpoint;

/**
 * What the controllers and the traffic need to know of the installation.
 *
 * @param peers where the other hosts of the zone reach this one
 * @param keyRevocation the time within which a withdrawn key must stop working
 * @param rateWindow the span over which limits are judged
 * @param rateOverage the part of the limit by which a span may exceed it
 * @param rateSlack operations by which a span may exceed the limit besides
 * @param stopGrace the time between the request to stop and the forced end
 */
public record EngineSettings(
    EntryHostId host,
    AvailabilityZone zone,
    SocketEndpoint peers,
    Duration keyRevocation,
    Duration rateWindow,
    double rateOverage,
    double rateSlack,
    Duration stopGrace) {}
