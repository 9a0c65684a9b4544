package org.persimmonwalk.internal.engine.traffic;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses the server for a read: the one that is expected to answer first. A server has few slots,
 * shared by many hosts, so the measured latency shows how long the server's own queue is.
 */
final class ServerChoice {
  /**
   * Opening a connection takes the handshake and two more one-way trips, and one of the server's
   * slots for that time, which delays others; so a workspace keeps to the servers it is connected
   * to.
   */
  static final double NEW_CONNECTION_PENALTY_MILLIS = 45;

  /** Another zone costs a few milliseconds of network latency, and its traffic is charged. */
  static final double OTHER_ZONE_PENALTY_MILLIS = 4;

  /** Writes need the primary, so reads prefer replicas that are about as fast. */
  static final double PRIMARY_FACTOR = 1.5;

  /** A replica that recently lacked a position mostly lacks the next one too. */
  static final double BEHIND_PENALTY_MILLIS = 60;

  private ServerChoice() {}

  static Optional<Candidate> best(Collection<Candidate> candidates) {
    return candidates.stream()
        .filter(Candidate::usable)
        .min(Comparator.comparingDouble(ServerChoice::expectedMillis));
  }

  static double expectedMillis(Candidate candidate) {
    double millis = candidate.latencyMillis() * (1 + candidate.outstanding());
    if (candidate.primary()) {
      millis *= PRIMARY_FACTOR;
    }
    if (!candidate.connected()) {
      millis += NEW_CONNECTION_PENALTY_MILLIS;
    }
    if (!candidate.ownZone()) {
      millis += OTHER_ZONE_PENALTY_MILLIS;
    }
    if (candidate.behind()) {
      millis += BEHIND_PENALTY_MILLIS;
    }
    return millis;
  }

  /**
   * A server that could serve a read.
   *
   * @param usable whether it answers this host and is not in backoff
   * @param connected whether the workspace has an idle connection to it
   * @param behind whether it recently lacked a required position
   * @param outstanding connections in use and requests queued for them
   */
  record Candidate(
      ServerPool pool,
      boolean usable,
      boolean primary,
      boolean ownZone,
      boolean connected,
      boolean behind,
      double latencyMillis,
      int outstanding) {}
}
