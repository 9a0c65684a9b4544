package org.persimmonwalk.internal.operator.fleet;

import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.model.SocketEndpoint;

/** Asks a host for its state; leads to {@link HostAnswered}. */
record AskHost(SocketEndpoint endpoint) implements Command {}
