package org.persimmonwalk.internal.engine.traffic;

import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.engine.FailureCode;

/** Tells what is known of a statement that got no answer by its deadline. */
final class TimedOutStatement {
  private TimedOutStatement() {}

  /**
   * Returns the failure to report.
   *
   * @param running whether it was sent to a server, which may have run it
   */
  static Failure failure(ExecutionRequest request, boolean running) {
    long millis = request.deadline().timeout().toMillis();
    if (!running) {
      return Failure.of(
          FailureCode.OVERLOADED,
          "the statement did not start within " + millis + " ms; try again");
    }
    return Failure.of(
        request.writes() ? FailureCode.OUTCOME_UNKNOWN : FailureCode.TIMED_OUT,
        "the statement got no answer within " + millis + " ms");
  }
}
