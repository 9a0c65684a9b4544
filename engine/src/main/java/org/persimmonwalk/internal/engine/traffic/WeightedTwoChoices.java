package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.persimmonwalk.port.RandomSource;

/**
 * Draws two servers at random, weighted by slots and measured speed, and takes the first unless the
 * second would start the statement clearly sooner. For servers that many hosts share: what a host
 * knows of their load is old, so hosts that all take the best server would overload it.
 *
 * <p>The servers to which the workspace has an idle connection are drawn from first. Another one is
 * used only if it is expected to answer sooner although a connection has to be opened. A connection
 * to the primary alone keeps no reads there: every workspace that writes has one, so the primary
 * would get the reads of all hosts.
 */
final class WeightedTwoChoices implements ServerChoice {
  /** How finely a draw resolves the weights. */
  private static final int DRAW_STEPS = 1 << 20;

  /** Shorter latencies differ by the network and the clock rather than by the server. */
  private static final double SHORTEST_SERVICE_MILLIS = 5;

  /**
   * The part of the weight that a server keeps if a new connection to it would close the idle one
   * of another workspace, which that workspace would have to open again, or would itself be closed
   * soon, because other hosts keep theirs.
   */
  private static final double REPLACING_WEIGHT = 0.2;

  /**
   * One choice in this many may open a connection for the sake of evenness alone. Otherwise a
   * server that was slow or away would get nothing more from workspaces that have left it. Half of
   * the one new connection for 50 requests that is accepted.
   */
  private static final int CHOICES_PER_SPREAD = 100;

  /**
   * A server that gets less than its part, as the zone reports it, is drawn more often, by this
   * factor at most, and one that gets more is drawn less often. A workspace keeps to the servers
   * that it is connected to, so the parts do not follow from the weights alone.
   */
  private static final double LARGEST_CORRECTION = 4;

  private static final double SMALLEST_CORRECTION = 0.5;

  private final RandomSource random;

  private WeightedTwoChoices(RandomSource random) {
    this.random = random;
  }

  static WeightedTwoChoices create(RandomSource random) {
    return new WeightedTwoChoices(random);
  }

  @Override
  public Optional<Candidate> choose(List<Candidate> candidates) {
    Group group = Group.of(candidates);
    boolean connected = false;
    for (Candidate candidate : candidates) {
      connected |= candidate.connected() && !candidate.primary() && group.offers(candidate);
    }
    Filter filter = connected ? Filter.CONNECTED : Filter.ALL;
    Candidate first = draw(group, filter, null);
    if (first == null) {
      return Optional.empty();
    }
    Candidate second = draw(group, filter, first);
    Candidate chosen = second != null && startsClearlySooner(second, first) ? second : first;
    if (connected) {
      Candidate unconnected = draw(group, Filter.UNCONNECTED, null);
      if (unconnected != null && isWorthConnecting(group, unconnected, chosen)) {
        chosen = unconnected;
      }
    }
    return Optional.of(chosen);
  }

  /** Draws one of the servers; null if there is none. */
  private Candidate draw(Group group, Filter filter, Candidate except) {
    double total = 0;
    Candidate last = null;
    for (Candidate candidate : group.candidates()) {
      if (candidate != except && filter.accepts(candidate) && group.offers(candidate)) {
        total += group.correctedWeight(candidate);
        last = candidate;
      }
    }
    if (last == null) {
      return null;
    }
    double left = total * random.nextInt(DRAW_STEPS) / DRAW_STEPS;
    for (Candidate candidate : group.candidates()) {
      if (candidate != except && filter.accepts(candidate) && group.offers(candidate)) {
        left -= group.correctedWeight(candidate);
        if (left < 0) {
          return candidate;
        }
      }
    }
    return last;
  }

  /** The speed of a server: its slots divided by the time that a statement takes there. */
  private static double weight(Candidate candidate) {
    return candidate.slots() * candidate.share() / serviceMillis(candidate);
  }

  private static double serviceMillis(Candidate candidate) {
    double millis = Math.max(SHORTEST_SERVICE_MILLIS, candidate.latencyMillis());
    if (candidate.primary()) {
      millis *= PRIMARY_FACTOR;
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
   * The time for which the work ahead keeps a statement waiting. The work of other hosts counts
   * only where it exceeds the slots: the figures are old, and below that it delays nothing.
   */
  private static double startDelayMillis(Candidate candidate) {
    double queuedElsewhere = Math.max(0, candidate.outstandingElsewhere() - candidate.slots());
    double ahead = candidate.outstanding() + queuedElsewhere;
    return candidate.latencyMillis() * ahead / candidate.slots();
  }

  /** Compares without the service times, which the weights of the draw account for already. */
  private static boolean startsClearlySooner(Candidate candidate, Candidate than) {
    boolean leavesZone = than.ownZone() && !candidate.ownZone();
    double cost = leavesZone ? OTHER_ZONE_PENALTY_MILLIS : 0;
    return startDelayMillis(candidate) + cost < startDelayMillis(than);
  }

  /**
   * Returns whether a statement should open a connection: because it is expected to be answered
   * sooner nevertheless, or in a few choices in proportion to the weight of the server.
   */
  private boolean isWorthConnecting(Group group, Candidate unconnected, Candidate chosen) {
    if (expectedMillis(unconnected) < expectedMillis(chosen)) {
      return true;
    }
    if (!unconnected.hasSpareConnection() || random.nextInt(CHOICES_PER_SPREAD) != 0) {
      return false;
    }
    double weight = group.correctedWeight(unconnected);
    double part = weight / (weight + group.correctedWeight(chosen));
    return random.nextInt(DRAW_STEPS) < DRAW_STEPS * part;
  }

  private static double expectedMillis(Candidate candidate) {
    double millis = serviceMillis(candidate) + startDelayMillis(candidate);
    if (!candidate.connected()) {
      millis += NEW_CONNECTION_PENALTY_MILLIS;
      if (!candidate.hasSpareConnection()) {
        millis += NEW_CONNECTION_PENALTY_MILLIS;
      }
    }
    return millis / candidate.share();
  }

  /** Which servers are drawn from. */
  private enum Filter {
    ALL,
    CONNECTED,
    UNCONNECTED;

    private boolean accepts(Candidate candidate) {
      return this == ALL || candidate.connected() == (this == CONNECTED);
    }
  }

  /**
   * The candidates of one choice.
   *
   * @param permittedEjections how many ejected servers may be left out
   * @param answersPerWeight the answers that the zone reports for the weight of one
   */
  private record Group(
      List<Candidate> candidates, int permittedEjections, double answersPerWeight) {

    private static Group of(List<Candidate> candidates) {
      int usable = 0;
      double weights = 0;
      double answers = 0;
      for (Candidate candidate : candidates) {
        if (candidate.usable()) {
          usable++;
          weights += weight(candidate);
          answers += candidate.reportedAnswers();
        }
      }
      return new Group(
          candidates, ServerEjection.permitted(usable), weights > 0 ? answers / weights : 0);
    }

    /**
     * Returns whether a server may be drawn. Of the ejected servers only as many are left out as
     * are permitted, those that return last first.
     */
    private boolean offers(Candidate candidate) {
      if (!candidate.usable() || candidate.ejectedFor().isZero()) {
        return candidate.usable();
      }
      int returningLater = 0;
      boolean seen = false;
      for (Candidate other : candidates) {
        if (other == candidate) {
          seen = true;
        } else if (other.usable() && returnsLater(other, candidate.ejectedFor(), !seen)) {
          returningLater++;
        }
      }
      return returningLater >= permittedEjections;
    }

    private static boolean returnsLater(Candidate other, Duration than, boolean orAtOnce) {
      int order = other.ejectedFor().compareTo(than);
      return order > 0 || (orAtOnce && order == 0);
    }

    private double correctedWeight(Candidate candidate) {
      double weight = weight(candidate);
      double due = answersPerWeight * weight;
      // One more on both sides, so that few answers correct little.
      double correction = (due + 1) / (candidate.reportedAnswers() + 1);
      weight *= Math.max(SMALLEST_CORRECTION, Math.min(LARGEST_CORRECTION, correction));
      boolean replaces = !candidate.connected() && !candidate.hasSpareConnection();
      return replaces ? weight * REPLACING_WEIGHT : weight;
    }
  }
}
