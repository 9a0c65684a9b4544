package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import org.persimmonwalk.model.MonotonicTime;

/**
 * When an operation arrived at this host.
 *
 * @param suspendedBefore for how long the host had been suspended until then
 */
record Arrival(MonotonicTime at, Duration suspendedBefore) {

  /** Returns the arrival of an operation that has just come. */
  static Arrival now(TrafficContext context) {
    return new Arrival(context.now(), context.suspension().suspendedTime());
  }

  /** Returns the deadline that is the given time after the arrival. */
  OperationDeadline deadline(Duration timeout) {
    return new OperationDeadline(this, timeout);
  }
}
