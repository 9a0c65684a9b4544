package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import org.persimmonwalk.engine.control.TokenGrant;
import org.persimmonwalk.engine.control.TokenLoan;
import org.persimmonwalk.engine.control.TokenRequest;
import org.persimmonwalk.engine.control.WorkspaceDemand;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/** The tokens that the sessions of this host may spend for one workspace, and their demand. */
final class WorkspaceTokens {
  /**
   * A host holds tokens for this many seconds of its demand. Further ones stay in the pool from
   * which it takes them, where they can serve the host whose demand grows.
   */
  private static final double SECONDS_HELD = 0.8;

  /** The host requests tokens when it has less than this part of the target. */
  private static final double REFILL_THRESHOLD = 0.5;

  /** The half-life of past operations in the demand average. */
  private static final double DEMAND_HALF_LIFE_SECONDS = 3.0;

  /** Operations per second below which a workspace counts as idle at this host. */
  private static final double IDLE_DEMAND = 0.05;

  /**
   * The minimum pause between two requests while operations wait; a round trip in the zone takes
   * about 2 ms.
   */
  static final Duration MIN_PAUSE = Duration.ofMillis(20);

  /** The minimum pause between two requests while the workspace is over its limit. */
  static final Duration SCARCE_PAUSE = Duration.ofMillis(200);

  /** How long operations count as waiting for a token after a report that one waits. */
  static final Duration WAITING_VALIDITY = Duration.ofMillis(300);

  /** Tokens are renewed this long before they expire, which allows two requests to be lost. */
  private static final Duration RENEW_BEFORE = Duration.ofMillis(700);

  /**
   * A workspace counts as absent when nothing has been reported for this long; open sessions are
   * reported every second.
   */
  private static final Duration PRESENCE_TIMEOUT = Duration.ofMillis(2500);

  /** The minimum period to average over; in a shorter one, one operation looks like high demand. */
  private static final double MIN_OBSERVED_SECONDS = 1.5;

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
  private MonotonicTime lastRequestAt;
  private MonotonicTime waitingUntil;
  private boolean scarce;

  WorkspaceTokens(MonotonicTime now) {
    this.demandAt = now;
    this.firstSeenAt = now;
    this.seenAt = now;
    this.takenAt = now;
    this.validUntil = now;
    this.lastRequestAt = now.minus(SCARCE_PAUSE);
    this.waitingUntil = now;
  }

  void recordDemand(WorkspaceDemand reported, MonotonicTime now) {
    decay(now);
    if (now.since(seenAt).compareTo(PRESENCE_TIMEOUT) > 0) {
      firstSeenAt = now;
      demand = 0;
    }
    seenAt = now;
    demand += reported.operations() * Math.log(2) / DEMAND_HALF_LIFE_SECONDS;
    if (reported.epoch() == epoch) {
      spent = Math.max(spent, reported.spent());
    }
    if (reported.waiting()) {
      waitingUntil = now.plus(WAITING_VALIDITY);
    }
  }

  /**
   * Starts a new epoch if the tokens have expired. Tokens from before a suspension of the machine
   * count as expired, because other hosts may have taken them over meanwhile. Returns how many
   * tokens expired unspent.
   */
  long dropExpired(MonotonicTime now, MonotonicTime resumedAt) {
    boolean isExpired = !now.isBefore(validUntil) || takenAt.isBefore(resumedAt);
    if (!isExpired || granted == 0) {
      return 0;
    }
    long dropped = remaining();
    epoch++;
    granted = 0;
    spent = 0;
    return dropped;
  }

  long remaining() {
    return Math.max(0, granted - spent);
  }

  long target(MonotonicTime now) {
    return Math.max(1, (long) Math.ceil(demand(now) * SECONDS_HELD));
  }

  /** Returns operations per second, corrected for demand too recent to be fully in the average. */
  private double demand(MonotonicTime now) {
    decay(now);
    double observed = now.since(firstSeenAt).toNanos() / NANOS_PER_SECOND;
    double seconds = Math.max(MIN_OBSERVED_SECONDS, observed);
    return demand / (1 - Math.pow(0.5, seconds / DEMAND_HALF_LIFE_SECONDS));
  }

  boolean needsTokens(MonotonicTime now) {
    boolean isLow = remaining() < target(now) * REFILL_THRESHOLD;
    boolean isExpiring = validUntil.since(now).compareTo(RENEW_BEFORE) < 0;
    return isWaiting(now) || (isActive(now) && (isLow || isExpiring));
  }

  /**
   * Returns whether operations wait for tokens, or soon may, and the pause between requests is
   * over.
   */
  boolean isUrgent(MonotonicTime now) {
    Duration pause = scarce ? SCARCE_PAUSE : MIN_PAUSE;
    boolean isExhausted = remaining() == 0 && demand(now) > IDLE_DEMAND;
    return (isWaiting(now) || isExhausted) && now.since(lastRequestAt).compareTo(pause) >= 0;
  }

  boolean isActive(MonotonicTime now) {
    decay(now);
    return isWaiting(now)
        || demand > IDLE_DEMAND
        || now.since(seenAt).compareTo(PRESENCE_TIMEOUT) < 0;
  }

  private boolean isWaiting(MonotonicTime now) {
    return now.isBefore(waitingUntil);
  }

  /** Records the time of a request that has been answered or has timed out. */
  void recordRequest(MonotonicTime sentAt) {
    lastRequestAt = sentAt;
  }

  /** Returns the request that this host sends now. */
  TokenRequest request(WorkspaceId workspace, MonotonicTime now) {
    return new TokenRequest(workspace, remaining(), demand(now), target(now));
  }

  /**
   * Adds the tokens of a loan. Tokens held before become valid as long as the new ones only if the
   * loan renews them, because otherwise the lender doesn't know of them.
   */
  void grant(TokenLoan loan, MonotonicTime requestedAt) {
    MonotonicTime until = requestedAt.plus(loan.validFor());
    boolean holdsNoOthers = remaining() == 0 && loan.tokens() > 0;
    if (loan.renews() || holdsNoOthers) {
      validUntil = until;
      takenAt = requestedAt;
    } else if (loan.tokens() > 0 && until.isBefore(validUntil)) {
      validUntil = until;
    }
    granted += loan.tokens();
    scarce = loan.scarce();
    if (loan.tokens() > 0) {
      waitingUntil = requestedAt;
    }
  }

  TokenGrant toGrant() {
    return new TokenGrant(epoch, granted, takenAt, validUntil, scarce);
  }

  private void decay(MonotonicTime now) {
    double seconds = now.since(demandAt).toNanos() / NANOS_PER_SECOND;
    demand *= Math.pow(0.5, seconds / DEMAND_HALF_LIFE_SECONDS);
    demandAt = now;
  }
}
