package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.engine.ServerEntry;

/** Asks a backend server for its role and log position. */
public record ReadServerStatus(ServerEntry server) implements Command {}
