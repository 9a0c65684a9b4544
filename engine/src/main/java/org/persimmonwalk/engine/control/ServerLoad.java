package org.persimmonwalk.engine.control;

import java.time.Duration;
import org.persimmonwalk.id.BackendServerId;

/**
 * The load of a backend server as one host, or all hosts of a zone together, have seen it in an
 * interval.
 *
 * @param outstanding the statements that were sent and not answered, or waited for a connection, at
 *     the end of the interval
 * @param answers the statements that were answered in the interval
 * @param latencySum the sum of their latencies
 * @param failures the statements that failed, or whose connection ended, in the interval
 * @param hosts the number of hosts that the figures are from
 */
public record ServerLoad(
    BackendServerId server,
    int outstanding,
    int answers,
    Duration latencySum,
    int failures,
    int hosts) {

  /**
   * Checks that no number is negative.
   *
   * @throws IllegalArgumentException if one is
   */
  public ServerLoad {
    if (outstanding < 0 || answers < 0 || latencySum.isNegative() || failures < 0 || hosts < 0) {
      throw new IllegalArgumentException("a number of the load of " + server + " is negative");
    }
  }

  /** Returns the mean latency in milliseconds; 0 without answers. */
  public double meanLatencyMillis() {
    return answers == 0 ? 0 : latencySum.toNanos() / 1e6 / answers;
  }

  /** Returns the part of the statements that did not fail; 1 if there were none. */
  public double successRate() {
    return failures == 0 ? 1 : (double) answers / ((double) answers + failures);
  }
}
