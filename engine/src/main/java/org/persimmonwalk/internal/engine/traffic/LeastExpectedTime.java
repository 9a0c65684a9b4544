package org.persimmonwalk.internal.engine.traffic;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the server that is expected to answer first. For servers that few hosts share: many hosts
 * with similar samples would all choose the same one.
 */
final class LeastExpectedTime implements ServerChoice {

  @Override
  public Optional<Candidate> choose(List<Candidate> candidates) {
    Candidate best = null;
    double bestMillis = Double.POSITIVE_INFINITY;
    for (Candidate candidate : candidates) {
      double millis = expectedMillis(candidate);
      if (candidate.usable() && millis < bestMillis) {
        best = candidate;
        bestMillis = millis;
      }
    }
    return Optional.ofNullable(best);
  }

  private static double expectedMillis(Candidate candidate) {
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
}
