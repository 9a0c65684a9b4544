package org.persimmonwalk.internal.engine.traffic;

import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.Statement;

/** A statement of a caller that waits for the answers to those before it. */
record QueuedStatement(RequestId id, Statement statement, Arrival arrival) {}
