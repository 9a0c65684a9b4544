package org.persimmonwalk.internal.operator.fleet;

import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.model.SocketEndpoint;

/** A host answered, or failed to. */
record HostAnswered(SocketEndpoint endpoint, HostAnswer answer) implements Observation {}
