package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Observation;

/**
 * A request of another host of the zone has arrived; answered by {@link AnswerHost}.
 *
 * @param exchange identifies the request, so that the transport can match the reply to it
 */
public record HostAsked(long exchange, ZoneRequest request) implements Observation {}
