package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import org.persimmonwalk.engine.control.TokenAsk;
import org.persimmonwalk.engine.control.TokenGrant;
import org.persimmonwalk.engine.control.TokenLoan;
import org.persimmonwalk.engine.control.WorkspaceDemand;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/** The tokens of one workspace at this host, and the demand for them. */
final class WorkspaceTokens {
  /**
   * A host holds tokens for its demand of so many seconds; more are at hand where it takes them, so
   * that they serve the host whose demand grows.
   */
  private static final double SECONDS_HELD = 0.8;

  /** Tokens are taken anew when less than this part of the target is left. */
  private static final double LOW_PART = 0.5;

  /** The demand forgets half of what it has seen in this time. */
  private static final double DEMAND_HALF_LIFE_SECONDS = 3.0;

  /** Operations per second below which a workspace counts as idle at this host. */
  private static final double IDLE_DEMAND = 0.05;

  /** A host asks no more often while operations wait; a question in the zone takes about 2 ms. */
  static final Duration LEAST_PAUSE = Duration.ofMillis(20);

  /** A host asks no more often while the workspace is over its limit. */
  static final Duration SCARCE_PAUSE = Duration.ofMillis(200);

  /** Operations wait for a token no longer than this. */
  static final Duration LONGEST_WAIT = Duration.ofMillis(300);

  /** Tokens are renewed when they lapse this soon; two questions may be lost. */
  private static final Duration RENEW_BEFORE = Duration.ofMillis(700);

  /** Open sessions are reported every second; a workspace without any is forgotten after this. */
  private static final Duration PRESENCE = Duration.ofMillis(2500);

  /** Shorter observations would take a single operation for a high demand. */
  private static final double LEAST_OBSERVED_SECONDS = 1.5;

  private static final double NANOS_PER_SECOND = 1e9;

  private long epoch;
  private long granted;
  private long spent;
  private double demand;
  private MonotonicTime demandAt;
  private MonotonicTime firstSeenAt;
  private MonotonicTime seenAt;
  private MonotonicTime takenAt;
  private MonotonicTime validUntil;
  private MonotonicTime lastAsked;
  private MonotonicTime waitingUntil;
  private boolean scarce;

  WorkspaceTokens(MonotonicTime now) {
    this.demandAt = now;
    this.firstSeenAt = now;
    this.seenAt = now;
    this.takenAt = now;
    this.validUntil = now;
    this.lastAsked = now.minus(SCARCE_PAUSE);
    this.waitingUntil = now;
  }

  void note(WorkspaceDemand seen, MonotonicTime now) {
    decay(now);
    if (now.since(seenAt).compareTo(PRESENCE) > 0) {
      firstSeenAt = now;
      demand = 0;
    }
    seenAt = now;
    demand += seen.operations() * Math.log(2) / DEMAND_HALF_LIFE_SECONDS;
    if (seen.epoch() == epoch) {
      spent = Math.max(spent, seen.spent());
    }
    if (seen.waiting()) {
      waitingUntil = now.plus(LONGEST_WAIT);
    }
  }

  /**
   * Starts a new epoch if the tokens have lapsed. While the machine was suspended others may have
   * taken them over.
   */
  void lapse(MonotonicTime now, MonotonicTime resumedAt) {
    boolean lapsed = !now.isBefore(validUntil) || takenAt.isBefore(resumedAt);
    if (lapsed && granted > 0) {
      epoch++;
      granted = 0;
      spent = 0;
    }
  }

  long left() {
    return Math.max(0, granted - spent);
  }

  long target(MonotonicTime now) {
    return Math.max(1, (long) Math.ceil(demand(now) * SECONDS_HELD));
  }

  /** Returns operations per second; a demand that has just begun is not yet in the average. */
  private double demand(MonotonicTime now) {
    decay(now);
    double observed = now.since(firstSeenAt).toNanos() / NANOS_PER_SECOND;
    double seconds = Math.max(LEAST_OBSERVED_SECONDS, observed);
    return demand / (1 - Math.pow(0.5, seconds / DEMAND_HALF_LIFE_SECONDS));
  }

  boolean mustAsk(MonotonicTime now) {
    boolean low = left() < target(now) * LOW_PART;
    boolean ends = validUntil.since(now).compareTo(RENEW_BEFORE) < 0;
    return isWaiting(now) || (isActive(now) && (low || ends));
  }

  /** Returns whether operations wait, or soon may, and another question may bring tokens. */
  boolean isUrgent(MonotonicTime now) {
    Duration pause = scarce ? SCARCE_PAUSE : LEAST_PAUSE;
    boolean runsOut = left() == 0 && demand(now) > IDLE_DEMAND;
    return (isWaiting(now) || runsOut) && now.since(lastAsked).compareTo(pause) >= 0;
  }

  boolean isActive(MonotonicTime now) {
    decay(now);
    return isWaiting(now) || demand > IDLE_DEMAND || now.since(seenAt).compareTo(PRESENCE) < 0;
  }

  private boolean isWaiting(MonotonicTime now) {
    return now.isBefore(waitingUntil);
  }

  /** Notes that a question was answered or given up. */
  void asked(MonotonicTime askedAt) {
    lastAsked = askedAt;
  }

  /** Returns what to ask for. */
  TokenAsk ask(WorkspaceId workspace, MonotonicTime now) {
    return new TokenAsk(workspace, left(), demand(now), target(now));
  }

  /**
   * Takes tokens over. Tokens held before are valid as long as the new ones only if the loan renews
   * them: others do not know of them.
   */
  void grant(TokenLoan loan, MonotonicTime askedAt) {
    MonotonicTime until = askedAt.plus(loan.validFor());
    boolean alone = left() == 0 && loan.tokens() > 0;
    if (loan.renews() || alone) {
      validUntil = until;
      takenAt = askedAt;
    } else if (loan.tokens() > 0 && until.isBefore(validUntil)) {
      validUntil = until;
    }
    granted += loan.tokens();
    scarce = loan.scarce();
    if (loan.tokens() > 0) {
      waitingUntil = askedAt;
    }
  }

  TokenGrant published() {
    return new TokenGrant(epoch, granted, takenAt, validUntil, scarce);
  }

  private void decay(MonotonicTime now) {
    double seconds = now.since(demandAt).toNanos() / NANOS_PER_SECOND;
    demand *= Math.pow(0.5, seconds / DEMAND_HALF_LIFE_SECONDS);
    demandAt = now;
  }
}
