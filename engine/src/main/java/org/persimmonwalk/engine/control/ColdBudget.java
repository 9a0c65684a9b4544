package org.persimmonwalk.engine.control;

import java.time.Duration;
import java.util.Optional;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Decides how many requests this host may send to a cold server in any second. In each zone only
 * the relay may send, at most the zone's part, so the parts of all zones together keep the bound
 * whatever the hosts know of each other.
 *
 * <p>Load: one decision for each statement to a cold server.
 */
public final class ColdBudget {
  /** The length of the window for which the bound is stated. */
  public static final Duration WINDOW = Duration.ofSeconds(1);

  /**
   * How long a host waits after it has taken the role. The relay before acts until its verification
   * expires; what it sent last must have left the window, or both would spend the part in it.
   */
  public static final Duration ROLE_DELAY =
      EngineTimings.VERIFICATION_VALIDITY.plus(EngineTimings.CLOCK_MARGIN).plus(WINDOW);

  /** A promotion asks a server for its status twice a second. */
  private static final int STATUS_REQUESTS = 2;

  private ColdBudget() {}

  /**
   * What a host knows of its role.
   *
   * @param relayingSince since when it is the relay of its zone; empty if it isn't
   * @param verifiedAt the start of the last call that verified its role
   * @param resumedAt when it last resumed from a suspension
   */
  public record Role(
      Optional<MonotonicTime> relayingSince,
      Optional<MonotonicTime> verifiedAt,
      MonotonicTime resumedAt) {

    /** Returns whether the host is the only one of its zone that may send to cold servers. */
    public boolean maySend(MonotonicTime now) {
      boolean hasWaited =
          relayingSince.filter(since -> now.since(since).compareTo(ROLE_DELAY) >= 0).isPresent();
      return hasWaited
          && verifiedAt
              .filter(at -> !at.isBefore(resumedAt))
              .filter(at -> now.since(at).compareTo(EngineTimings.VERIFICATION_VALIDITY) < 0)
              .isPresent();
    }
  }

  /**
   * Returns how many statements of callers a zone's part admits; the rest is for status requests.
   */
  public static int forStatements(int zonePart) {
    return zonePart - Math.min(STATUS_REQUESTS, zonePart / 2);
  }
}
