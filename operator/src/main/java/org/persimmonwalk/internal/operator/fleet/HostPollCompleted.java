package org.persimmonwalk.internal.operator.fleet;

import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.model.SocketEndpoint;

/** A request started by {@link PollHost} has completed, successfully or not. */
record HostPollCompleted(SocketEndpoint endpoint, HostPollResult result) implements Observation {}
