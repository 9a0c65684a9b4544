package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Command;

/** Reads the entries of all backend servers from the store; ends with {@link ServersListed}. */
public record ListServers() implements Command {}
