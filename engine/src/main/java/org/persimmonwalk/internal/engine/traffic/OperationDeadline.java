package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import org.persimmonwalk.model.MonotonicTime;

/**
 * When an operation must be answered, counted from its arrival at this host: its wait for a token,
 * its hold and its statement share this time. A suspension of the host counts as passed time,
 * although the monotonic clock stands still meanwhile.
 */
record OperationDeadline(Arrival arrival, Duration timeout) {

  /** Returns the time since the arrival. */
  Duration age(TrafficContext context) {
    Duration suspended = context.suspension().suspendedTime().minus(arrival.suspendedBefore());
    return context.now().since(arrival.at()).plus(suspended);
  }

  /** Returns the time until the deadline; zero if it has passed. */
  Duration left(TrafficContext context) {
    Duration left = timeout.minus(age(context));
    return left.isNegative() ? Duration.ZERO : left;
  }

  /** Returns whether the deadline has passed. */
  boolean hasPassed(TrafficContext context) {
    return left(context).isZero();
  }

  /** Returns the deadline on the monotonic clock, if the host is not suspended until then. */
  MonotonicTime at(TrafficContext context) {
    return context.now().plus(left(context));
  }

  /** Returns the given time, or the deadline if that comes first. */
  MonotonicTime limit(MonotonicTime time, TrafficContext context) {
    MonotonicTime at = at(context);
    return at.isBefore(time) ? at : time;
  }
}
