package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.Route;

/**
 * Decides what the time left until the deadline of an operation allows. Responds to operations that
 * come late to their statement, after waits in their session, for a token, in a hold or for a
 * connection, while lenders, store or servers are slow.
 *
 * @param left the time until the deadline
 * @param usualWork how long a statement of the route usually takes
 */
record RemainingTime(Duration left, Duration usualWork) {
  /** Tells callers why an operation was not run. */
  static final Failure TOO_LATE =
      Failure.of(
          FailureCode.OVERLOADED,
          "too little time is left until the deadline of the operation; not run");

  /** Returns whether a statement that is sent now can be answered in time. */
  boolean sufficesForStatement() {
    return !left.isZero() && left.compareTo(usualWork) >= 0;
  }

  /** Returns how long the operation may wait for a token: its statement must still be possible. */
  Duration tokenWait(Route route) {
    Duration spare = left.minus(usualWork);
    Duration usual = route.tokenWait();
    return spare.compareTo(usual) < 0 ? spare : usual;
  }
}
