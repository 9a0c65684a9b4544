package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Command;

/** Asks the store for the entries of all backend servers. */
public record ListServers() implements Command {}
