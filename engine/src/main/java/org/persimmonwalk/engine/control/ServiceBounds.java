package org.persimmonwalk.engine.control;

import java.time.Duration;
import java.util.Optional;

/**
 * The times that operators promise for the whole fleet; {@link EngineTimings} derives intervals and
 * timeouts from them.
 *
 * @param drain the time after which a draining or removed server must get no new request
 * @param configurationApply the time within which a new configuration must be in force
 * @param contact the time after a fault from which a host counts as working normally
 * @param heartbeat the interval at which backend servers renew their entries
 * @param resumeSlack the time after a suspension in which a host may still act on old state
 * @param evacuation the time after which the servers of an evacuated zone must get no new request;
 *     empty if zones are not evacuated in this deployment
 */
public record ServiceBounds(
    Duration drain,
    Duration configurationApply,
    Duration contact,
    Duration heartbeat,
    Duration resumeSlack,
    Optional<Duration> evacuation) {}
