package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Command;

/** Sends a request to the relay of the zone; ends with {@link RelayAnswered}. */
public record AskRelay(RelayHost relay, ZoneRequest request) implements Command {}
