package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Leaves out a server that fails requests, for longer each time it fails again soon, and lets it
 * return by slow start. Only requests count as evidence: a server may accept connections and report
 * good health while it fails its work.
 */
final class ServerEjection {
  /** The first ejection; about as long as a restarted connection or a short stall takes. */
  static final Duration FIRST = Duration.ofMillis(250);

  /** A longer ejection would leave a recovered server idle for longer than a caller's deadline. */
  static final Duration LONGEST = Duration.ofSeconds(8);

  /**
   * A failure this soon after the return continues the trouble before. A host of a large fleet
   * sends a server about one read in three seconds, so a shorter time would miss partial failures.
   */
  static final Duration SOON = Duration.ofSeconds(10);

  /** A returning server has no limit any more when it may have this many requests at once. */
  private static final int FULL_LIMIT = 8;

  /** At most this part of the usable servers of a group is left out at once: one in two. */
  private static final int PERMITTED_DIVISOR = 2;

  private final BackendServerId server;
  private final DecisionLog log;
  private boolean returning;
  private MonotonicTime leftAt;
  private MonotonicTime ejectedUntil;
  private Duration lastEjection = Duration.ZERO;
  private String reason = "";
  private int limit = FULL_LIMIT;

  ServerEjection(BackendServerId server, DecisionLog log) {
    this.server = server;
    this.log = log;
  }

  /** Returns how many of the given number of usable servers may be left out at once. */
  static int permitted(int usableServers) {
    return usableServers / PERMITTED_DIVISOR;
  }

  /**
   * Records a request that the server failed. One sent before the current ejection began is no
   * further evidence.
   */
  void recordFailure(MonotonicTime sentAt, MonotonicTime now, String failure) {
    if (ejectedUntil != null && (now.isBefore(ejectedUntil) || sentAt.isBefore(leftLast()))) {
      return;
    }
    Duration doubled = lastEjection.multipliedBy(2);
    if (isOver(now)) {
      lastEjection = FIRST;
    } else {
      lastEjection = doubled.compareTo(LONGEST) > 0 ? LONGEST : doubled;
    }
    if (!returning) {
      leftAt = now;
    }
    returning = true;
    limit = 1;
    reason = failure;
    ejectedUntil = now.plus(lastEjection);
    log.write("server-left", "server", server, "reason", failure, "forMs", lastEjection.toMillis());
  }

  private MonotonicTime leftLast() {
    return ejectedUntil.minus(lastEjection);
  }

  /** Records a request that the server answered; doubles the limit of a returning server. */
  void recordSuccess(MonotonicTime sentAt, MonotonicTime now) {
    if (!returning || sentAt.isBefore(ejectedUntil)) {
      return;
    }
    limit *= 2;
    if (limit >= FULL_LIMIT) {
      returning = false;
      log.write(
          "server-returned",
          "server",
          server,
          "reason",
          reason,
          "awayMs",
          now.since(leftAt).toMillis());
    }
  }

  /** Returns how long the server is still to be left out; zero if it is not ejected. */
  Duration left(MonotonicTime now) {
    if (ejectedUntil == null || !now.isBefore(ejectedUntil)) {
      return Duration.ZERO;
    }
    return ejectedUntil.since(now);
  }

  /** Returns whether a failure now would not continue an earlier trouble. */
  boolean isOver(MonotonicTime now) {
    return ejectedUntil == null || now.since(ejectedUntil).compareTo(SOON) >= 0;
  }

  /** Returns whether the server may get another request beside those outstanding. */
  boolean admits(int outstanding) {
    return !returning || outstanding < limit;
  }

  /** Returns the part of its usual load that the server should get. */
  double share() {
    return returning ? (double) limit / FULL_LIMIT : 1;
  }
}
