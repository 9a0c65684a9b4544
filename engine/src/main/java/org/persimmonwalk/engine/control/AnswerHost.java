package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Command;

/** Answers a question of another host of the zone. */
public record AnswerHost(long exchange, ZoneReply reply) implements Command {}
