package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Command;

/** Asks the relay of the zone; answered by {@link RelayAnswered}. */
public record AskRelay(RelayHost relay, ZoneRequest request) implements Command {}
