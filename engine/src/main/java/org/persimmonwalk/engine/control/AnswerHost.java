package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Command;

/**
 * Sends the reply to a request of another host of the zone.
 *
 * @param exchange the exchange of the {@link HostAsked} that is answered
 */
public record AnswerHost(long exchange, ZoneReply reply) implements Command {}
