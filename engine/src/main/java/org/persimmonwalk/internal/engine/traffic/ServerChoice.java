package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Chooses the server for a read. */
interface ServerChoice {
  /**
   * Opening a connection takes the handshake and two more one-way trips, and one of the server's
   * slots for that time, which delays others; so a workspace keeps to the servers it is connected
   * to.
   */
  double NEW_CONNECTION_PENALTY_MILLIS = 45;

  /** Another zone costs a few milliseconds of network latency, and its traffic is charged. */
  double OTHER_ZONE_PENALTY_MILLIS = 4;

  /** Writes need the primary, so reads prefer replicas that are about as fast. */
  double PRIMARY_FACTOR = 1.5;

  /** A replica that recently lacked a position mostly lacks the next one too. */
  double BEHIND_PENALTY_MILLIS = 60;

  /** Returns the server to use; empty if none is usable. */
  Optional<Candidate> choose(List<Candidate> candidates);

  /**
   * A server that could serve a read.
   *
   * @param usable whether it answers this host and is not in backoff
   * @param connected whether the workspace has an idle connection to it
   * @param hasSpareConnection whether a connection to it can be opened without closing one of
   *     another workspace, and then be kept
   * @param behind whether it recently lacked a required position
   * @param outstanding connections in use and requests queued for them
   * @param outstandingElsewhere the estimated number of requests of other hosts that it has
   * @param reportedAnswers how many answers the hosts of the zone have had from it lately; 0 if
   *     there are no reports
   * @param share the part of its usual load that it should get, above 0 and at most 1; lower while
   *     it returns from an ejection or fails requests
   * @param ejectedFor how long it should still be left out; zero if it is not ejected
   */
  record Candidate(
      ServerPool pool,
      boolean usable,
      boolean primary,
      boolean ownZone,
      boolean connected,
      boolean hasSpareConnection,
      boolean behind,
      int slots,
      double latencyMillis,
      int outstanding,
      double outstandingElsewhere,
      double reportedAnswers,
      double share,
      Duration ejectedFor) {}
}
