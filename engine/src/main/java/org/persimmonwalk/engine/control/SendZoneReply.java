package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Command;

/**
 * Sends the reply to a request of another host of the zone.
 *
 * @param exchangeId the exchange id of the {@link ZoneRequestReceived} that is answered
 */
public record SendZoneReply(long exchangeId, ZoneReply reply) implements Command {}
