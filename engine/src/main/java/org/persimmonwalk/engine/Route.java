package org.persimmonwalk.engine;

import java.time.Duration;
import org.persimmonwalk.id.DatabaseGroupId;

/**
 * The database group that statements for a database name go to, with their consistency and limits.
 *
 * @param statementTimeout the deadline of an operation: the maximum time from its arrival to its
 *     answer, with its waits for a token, in a hold and for a connection
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
   * Returns within which time a token should be there, so that the operation can be answered in
   * time: as long as the whole operation should take.
   */
  public Duration usualTokenWait() {
    return longer(latencyTarget, SHORTEST_TOKEN_WAIT);
  }

  /**
   * Returns how long an operation may wait for a token: half of its deadline, so that the statement
   * still has the other half. A workspace over its limit is refused at once, so what waits is
   * mostly within the limit, and a late answer is worth more to a caller than a refusal. With waits
   * up to the latency target of 200 ms a quarter of the operations was refused where lenders
   * replied after 20 to 300 ms.
   */
  public Duration tokenWait() {
    return longer(usualTokenWait(), statementTimeout.dividedBy(2));
  }

  private static Duration longer(Duration first, Duration second) {
    return first.compareTo(second) < 0 ? second : first;
  }
}
