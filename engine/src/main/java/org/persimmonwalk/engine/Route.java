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

  /**
   * Returns how long an operation may wait for a token: as long as the whole operation should take.
   * A workspace over its limit is refused at once, so what waits is mostly within the limit, and an
   * answer that is a little late is worth more to a caller than a refusal.
   */
  public Duration tokenWait() {
    return latencyTarget.compareTo(SHORTEST_TOKEN_WAIT) < 0 ? SHORTEST_TOKEN_WAIT : latencyTarget;
  }
}
