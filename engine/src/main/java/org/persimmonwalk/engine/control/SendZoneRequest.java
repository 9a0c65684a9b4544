package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Command;

/** Sends a request to the relay of the zone; ends with {@link ZoneRequestEnded}. */
public record SendZoneRequest(RelayHost relay, ZoneRequest request) implements Command {}
