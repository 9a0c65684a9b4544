package org.persimmonwalk.engine;

import java.time.Duration;
import org.persimmonwalk.id.DatabaseGroupId;

/**
 * The database group that statements for a database name go to, with their consistency and limits.
 *
 * @param statementTimeout the maximum time for one statement
 * @param latencyTarget the time within which a whole operation should be answered
 * @param priority the priority of waiting for a connection; 0 is the highest
 * @param maximumStaleness reads may miss commits younger than this; zero on primary routes
 * @param open whether callers without a valid key are accepted
 */
public record Route(
    DatabaseName database,
    DatabaseGroupId group,
    RouteKind kind,
    Duration statementTimeout,
    Duration latencyTarget,
    int priority,
    Duration maximumStaleness,
    boolean open) {

  /**
   * The shortest time an operation may wait for a token. Two calls to the store, one of them a
   * conflict, mostly take less.
   */
  public static final Duration SHORTEST_TOKEN_WAIT = Duration.ofMillis(80);

  /** An operation may wait for a token for the latency target divided by this. */
  private static final int TOKEN_WAIT_DIVISOR = 2;

  /** Returns how long an operation may wait for a token. */
  public Duration tokenWait() {
    Duration wait = latencyTarget.dividedBy(TOKEN_WAIT_DIVISOR);
    return wait.compareTo(SHORTEST_TOKEN_WAIT) < 0 ? SHORTEST_TOKEN_WAIT : wait;
  }
}
