package org.persimmonwalk.internal.engine.traffic;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses the server for a read among those whose data is recent enough: the one that is expected
 * to answer first. Answers the load pattern of few slots per server shared by many hosts, where the
 * measured latency shows how long the server's own queue is.
 */
final class ServerChoice {
  /**
   * Opening a connection takes the handshake and two more ways, and one of the server's slots for
   * that time, which delays others; so a workspace keeps to the servers it is connected to.
   */
  static final double NEW_CONNECTION_MILLIS = 45;

  /** Another zone costs a few milliseconds on the way, and priced bytes. */
  static final double OTHER_ZONE_MILLIS = 4;

  /** Writes need the primary, so reads leave it to them when others are about as fast. */
  static final double PRIMARY_FACTOR = 1.5;

  /** A replica that lately lacked a position mostly lacks the next one too. */
  static final double BEHIND_MILLIS = 60;

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
      millis += NEW_CONNECTION_MILLIS;
    }
    if (!candidate.ownZone()) {
      millis += OTHER_ZONE_MILLIS;
    }
    if (candidate.behind()) {
      millis += BEHIND_MILLIS;
    }
    return millis;
  }

  /**
   * A server that could serve a read.
   *
   * @param usable whether it is reachable as far as this host knows
   * @param connected whether a connection of the workspace is free
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
