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

  /**
   * Operations come at random times. A host whose lenders are slow holds tokens for this many
   * standard deviations more than come on average until a reply arrives; with none, one of 15
   * operations found no token when replies took 300 ms.
   */
  private static final double REPLY_DEVIATIONS = 1;

  /** The host requests tokens when it has less than this part of the target. */
  private static final double REFILL_THRESHOLD = 0.5;

  /** The half-life of past operations in the demand average. */
  private static final double DEMAND_HALF_LIFE_SECONDS = 3.0;

  /** Operations per second below which a workspace counts as idle at this host. */
  private static final double IDLE_DEMAND = 0.05;

  /**
   * Operations per second from which a host holds a token before the next operation. A token lapses
   * once its operations end, so a single operation must not count: with tokens held after each, the
   * small workspaces lost as many tokens as they spent.
   */
  private static final double IN_USE_DEMAND = 0.3;

  /**
   * The minimum pause between two requests while operations wait; a round trip in the zone takes
   * about 2 ms.
   */
  static final Duration MIN_PAUSE = Duration.ofMillis(20);

  /** The minimum pause between two requests while the workspace is over its limit. */
  static final Duration SCARCE_PAUSE = Duration.ofMillis(200);

  /**
   * How long operations are refused at once after a lender said that the workspace is over its
   * limit. Hosts that hold tokens in advance ask again within this time.
   */
  static final Duration SCARCE_VALIDITY = Duration.ofMillis(300);

  /** How long operations count as waiting for a token after a report that one waits. */
  static final Duration WAITING_VALIDITY = Duration.ofMillis(300);

  /** Tokens of a late reply with less validity left are dropped if others are held. */
  private static final Duration LATE_VALIDITY = Duration.ofMillis(200);

  /** Tokens are renewed this long before they expire, which allows two requests to be lost. */
  private static final Duration RENEW_BEFORE = Duration.ofMillis(700);

  /**
   * A workspace counts as absent when nothing has been reported for this long; open sessions are
   * reported every second.
   */
  private static final Duration PRESENCE_TIMEOUT = Duration.ofMillis(2500);

  /** The minimum period to average over; in a shorter one, one operation looks like high demand. */
  private static final double MIN_OBSERVED_SECONDS = 1.5;

  /**
   * A host with sessions of a workspace tells its lender at least this often, so that the lender
   * has tokens when an operation comes, also while the store is down.
   */
  private static final Duration ANNOUNCEMENT_INTERVAL = Duration.ofSeconds(10);

  private static final double NANOS_PER_SECOND = 1e9;

  private long epoch;
  private long granted;
  private long spent;
  private double demand;
  private MonotonicTime demandAt;
  private MonotonicTime firstSeenAt;
  private MonotonicTime seenAt;
  private MonotonicTime grantedAt;
  private MonotonicTime takenAt;
  private MonotonicTime validUntil;
  private MonotonicTime lastRequestAt;
  private MonotonicTime announcedAt;
  private MonotonicTime waitingUntil;
  private MonotonicTime scarceUntil;
  private long waiting;
  private boolean heldInAdvance;
  private boolean heldInUse;
  private Duration replyTime = Duration.ZERO;

  WorkspaceTokens(MonotonicTime now) {
    this.demandAt = now;
    this.firstSeenAt = now;
    this.seenAt = now;
    this.grantedAt = now;
    this.takenAt = now;
    this.validUntil = now;
    this.lastRequestAt = now.minus(SCARCE_PAUSE);
    this.announcedAt = now.minus(ANNOUNCEMENT_INTERVAL);
    this.waitingUntil = now;
    this.scarceUntil = now;
  }

  /**
   * Sets when to hold at least one token before an operation needs it. Without, the host asks for
   * each operation unless its own demand is high.
   *
   * @param always whether to hold it as long as there are sessions
   * @param inUse whether to hold it as long as operations have come lately
   */
  void setHeldInAdvance(boolean always, boolean inUse) {
    heldInAdvance = always;
    heldInUse = inUse;
  }

  /** Sets how long the lenders take to reply; tokens for that time are held in addition. */
  void setReplyTime(Duration expected) {
    replyTime = expected;
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
    waiting = reported.waiting();
    waitingUntil = now.plus(WAITING_VALIDITY);
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

  /** Returns how many tokens to hold in advance. */
  private long target(MonotonicTime now) {
    double replySeconds = replyTime.toNanos() / NANOS_PER_SECOND;
    double perReply = demand(now) * replySeconds;
    double spentMeanwhile =
        demand(now) * SECONDS_HELD + perReply + REPLY_DEVIATIONS * Math.sqrt(perReply);
    return heldInAdvance || (heldInUse && isInUse())
        ? Math.max(1, (long) Math.ceil(spentMeanwhile))
        : (long) Math.floor(spentMeanwhile);
  }

  /**
   * Returns whether operations come often enough to hold a token. One that is held already is kept
   * for longer, as it would lapse.
   */
  private boolean isInUse() {
    return demand > (remaining() > 0 ? IDLE_DEMAND : IN_USE_DEMAND);
  }

  /** Returns operations per second, corrected for demand too recent to be fully in the average. */
  private double demand(MonotonicTime now) {
    decay(now);
    double observed = now.since(firstSeenAt).toNanos() / NANOS_PER_SECOND;
    double seconds = Math.max(MIN_OBSERVED_SECONDS, observed);
    return demand / (1 - Math.pow(0.5, seconds / DEMAND_HALF_LIFE_SECONDS));
  }

  boolean needsTokens(MonotonicTime now) {
    long target = target(now);
    boolean isLow = remaining() < target * REFILL_THRESHOLD;
    boolean isExpiring = validUntil.since(now).compareTo(RENEW_BEFORE.plus(replyTime)) < 0;
    boolean isAnnouncementDue = now.since(announcedAt).compareTo(ANNOUNCEMENT_INTERVAL) >= 0;
    boolean isShort = target > 0 && (isLow || isExpiring);
    return isWaiting(now) || (isActive(now) && (isShort || isAnnouncementDue));
  }

  /**
   * Returns whether operations wait for tokens, or soon may, and the pause between requests is
   * over.
   */
  boolean isUrgent(MonotonicTime now) {
    Duration pause = now.isBefore(scarceUntil) ? SCARCE_PAUSE : MIN_PAUSE;
    boolean isExhausted = remaining() == 0 && target(now) > 0 && demand(now) > IDLE_DEMAND;
    return (isWaiting(now) || isExhausted) && now.since(lastRequestAt).compareTo(pause) >= 0;
  }

  boolean isActive(MonotonicTime now) {
    decay(now);
    return isWaiting(now)
        || demand > IDLE_DEMAND
        || now.since(seenAt).compareTo(PRESENCE_TIMEOUT) < 0;
  }

  /** Returns whether operations wait for which no token has been granted yet. */
  boolean isWaiting(MonotonicTime now) {
    return now.isBefore(waitingUntil) && waiting > remaining();
  }

  /** Records the time of a request that has been answered or has timed out. */
  void recordRequest(MonotonicTime sentAt) {
    lastRequestAt = sentAt;
    announcedAt = sentAt;
  }

  /** Returns the request that this host sends now. */
  TokenRequest request(WorkspaceId workspace, MonotonicTime now) {
    long waitingNow = isWaiting(now) ? waiting : 0;
    return new TokenRequest(workspace, remaining(), demand(now), target(now), waitingNow);
  }

  /**
   * Adds the tokens of a loan, unless they expire before they can be used. Tokens held before
   * become valid as long as the new ones only if the loan renews them, because otherwise the lender
   * doesn't know of them. Nor does it know of tokens that another lender granted while the request
   * was on its way.
   */
  void grant(TokenLoan loan, MonotonicTime requestedAt, MonotonicTime now) {
    MonotonicTime until = requestedAt.plus(loan.validFor());
    long usable = isUsable(until, now) ? loan.tokens() : 0;
    boolean holdsNoOthers = remaining() == 0 && usable > 0;
    boolean renewsAll = loan.renews() && !grantedAt.isAfter(requestedAt);
    if (renewsAll || holdsNoOthers) {
      validUntil = until;
      takenAt = requestedAt;
    } else if (usable > 0 && until.isBefore(validUntil)) {
      validUntil = until;
    }
    granted += usable;
    announcedAt = requestedAt;
    scarceUntil = loan.scarce() ? requestedAt.plus(SCARCE_VALIDITY) : requestedAt;
    if (usable > 0) {
      grantedAt = now;
      lastRequestAt = requestedAt.minus(SCARCE_PAUSE);
    }
  }

  /**
   * Returns whether to keep tokens that expire at the given time. All tokens held expire together,
   * so those of a late reply must not shorten the validity of others by much.
   */
  private boolean isUsable(MonotonicTime until, MonotonicTime now) {
    boolean shortensOthers =
        remaining() > 0 && !isWaiting(now) && until.since(now).compareTo(LATE_VALIDITY) < 0;
    return now.isBefore(until) && (!shortensOthers || !until.isBefore(validUntil));
  }

  TokenGrant toGrant() {
    return new TokenGrant(epoch, granted, takenAt, validUntil, scarceUntil);
  }

  private void decay(MonotonicTime now) {
    double seconds = now.since(demandAt).toNanos() / NANOS_PER_SECOND;
    demand *= Math.pow(0.5, seconds / DEMAND_HALF_LIFE_SECONDS);
    demandAt = now;
  }
}
