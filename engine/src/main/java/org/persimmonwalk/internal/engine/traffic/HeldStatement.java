package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.function.Consumer;
import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * A statement, or the start of a transaction, that waits in this host until a server may get it.
 *
 * @param needsPrimary whether only the primary may run it
 * @param targetAt until when it is answered within the latency target of its route
 * @param deadline until when it must be answered, or be sent if that comes first
 * @param sequence the order of arrival at this host
 * @param resume sends it; it may be held again
 * @param refuse answers it as not run
 */
record HeldStatement(
    Route route,
    WorkspaceId workspace,
    boolean needsPrimary,
    MonotonicTime targetAt,
    MonotonicTime deadline,
    long sequence,
    Runnable resume,
    Consumer<Failure> refuse) {

  DatabaseGroupId group() {
    return route.group();
  }

  int priority() {
    return route.priority();
  }

  /** Returns whether an answer after the given time is within the latency target. */
  boolean meetsTarget(MonotonicTime now, Duration expected) {
    return !now.plus(expected).isAfter(targetAt);
  }

  /** Returns whether an answer after the given time is within the deadline. */
  boolean meetsDeadline(MonotonicTime now, Duration expected) {
    return !now.plus(expected).isAfter(deadline);
  }
}
