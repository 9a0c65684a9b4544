package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import org.persimmonwalk.engine.control.TokenGrant;
import org.persimmonwalk.engine.control.WorkspaceDemand;
import org.persimmonwalk.model.MonotonicTime;

/** The tokens of one workspace at this host, and the demand for them. */
final class WorkspaceTokens {
  /**
   * A host holds tokens for its demand of so many seconds. Tokens can be taken every second; all
   * hosts together must leave a good part of the bucket to those whose demand grows.
   */
  private static final double SECONDS_HELD = 1.8;

  /** Tokens are taken anew when less than this part of the target is left. */
  private static final double LOW_PART = 0.5;

  /** The demand forgets half of what it has seen in this time. */
  private static final double DEMAND_HALF_LIFE_SECONDS = 3.0;

  /** Operations per second below which a workspace counts as idle at this host. */
  private static final double IDLE_DEMAND = 0.05;

  /** A host asks no more often while tokens are plentiful, in bursts of one workspace. */
  static final Duration LEAST_PAUSE = Duration.ofMillis(250);

  /** A host asks no more often while the workspace is over its limit. */
  static final Duration SCARCE_PAUSE = Duration.ofMillis(600);

  /** Holdings are renewed when they lapse this soon. */
  private static final Duration RENEW_BEFORE = Duration.ofMillis(1800);

  /** Open sessions are reported every second; a workspace without any is forgotten after this. */
  private static final Duration PRESENCE = Duration.ofMillis(2500);

  private static final double NANOS_PER_SECOND = 1e9;

  private long epoch;
  private long granted;
  private long spent;
  private double demand;
  private MonotonicTime demandAt;
  private MonotonicTime seenAt;
  private MonotonicTime takenAt;
  private MonotonicTime validUntil;
  private MonotonicTime lastAsked;
  private boolean scarce;
  private boolean waiting;

  WorkspaceTokens(MonotonicTime now) {
    this.demandAt = now;
    this.seenAt = now;
    this.takenAt = now;
    this.validUntil = now;
    this.lastAsked = now.minus(SCARCE_PAUSE);
  }

  void note(WorkspaceDemand seen, MonotonicTime now) {
    decay(now);
    seenAt = now;
    demand += seen.operations() * Math.log(2) / DEMAND_HALF_LIFE_SECONDS;
    if (seen.epoch() == epoch) {
      spent = Math.max(spent, seen.spent());
    }
    waiting |= seen.waiting();
  }

  /** Starts a new epoch if the tokens have lapsed. */
  void lapse(MonotonicTime now) {
    if (!now.isBefore(validUntil) && granted > 0) {
      epoch++;
      granted = 0;
      spent = 0;
    }
  }

  long left() {
    return Math.max(0, granted - spent);
  }

  long target(MonotonicTime now) {
    decay(now);
    return Math.max(1, (long) Math.ceil(demand * SECONDS_HELD));
  }

  /** Returns whether the demand here is above the given part of the workspace's rate. */
  boolean exceeds(double perSecond, MonotonicTime now) {
    decay(now);
    return demand > perSecond;
  }

  boolean mustAsk(MonotonicTime now) {
    boolean low = left() < target(now) * LOW_PART;
    boolean ends = validUntil.since(now).compareTo(RENEW_BEFORE) < 0;
    return waiting || (isActive(now) && (low || ends));
  }

  /** Returns whether an operation waits for a token and another call may bring one. */
  boolean isUrgent(MonotonicTime now) {
    Duration pause = scarce ? SCARCE_PAUSE : LEAST_PAUSE;
    return waiting && now.since(lastAsked).compareTo(pause) >= 0;
  }

  boolean isActive(MonotonicTime now) {
    decay(now);
    return waiting || demand > IDLE_DEMAND || now.since(seenAt).compareTo(PRESENCE) < 0;
  }

  MonotonicTime lastAsked() {
    return lastAsked;
  }

  void asked(MonotonicTime now) {
    lastAsked = now;
  }

  void grant(long tokens, boolean tokensAreScarce, MonotonicTime startedAt) {
    granted += tokens;
    scarce = tokensAreScarce;
    takenAt = startedAt;
    validUntil = startedAt.plus(Duration.ofMillis(RateRow.VALID_MILLIS));
    waiting = false;
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
