package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Command;

/**
 * Sends the reply to token requests of another host.
 *
 * @param exchangeId the exchange id of the {@link TokenRequestsReceived} that is answered
 */
public record SendTokenReply(long exchangeId, TokenReply reply) implements Command {}
