package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.engine.ServerEntry;

/** Reads the role and log position of a backend server; ends with {@link ServerStatusRead}. */
public record ReadServerStatus(ServerEntry server) implements Command {}
