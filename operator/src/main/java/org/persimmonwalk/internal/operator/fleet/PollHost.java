package org.persimmonwalk.internal.operator.fleet;

import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.model.SocketEndpoint;

/** Requests the state of a host; its outcome is observed as {@link HostPollCompleted}. */
record PollHost(SocketEndpoint endpoint) implements Command {}
