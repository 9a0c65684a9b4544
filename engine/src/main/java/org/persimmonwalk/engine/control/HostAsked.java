package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Observation;

/**
 * Another host of the zone asks this one; answered by {@link AnswerHost}.
 *
 * @param exchange names the question towards the transport
 */
public record HostAsked(long exchange, ZoneRequest request) implements Observation {}
