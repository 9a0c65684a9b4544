package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Command;

/** Reads the entries of all backend servers from the store; ends with {@link ServerListRead}. */
public record ReadServerList() implements Command {}
