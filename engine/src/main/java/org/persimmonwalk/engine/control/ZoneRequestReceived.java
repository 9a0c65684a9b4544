package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Observation;

/**
 * A request of another host of the zone has arrived; answered by {@link SendZoneReply}.
 *
 * @param exchangeId identifies the request, so that the transport can match the reply to it
 */
public record ZoneRequestReceived(long exchangeId, ZoneRequest request) implements Observation {}
