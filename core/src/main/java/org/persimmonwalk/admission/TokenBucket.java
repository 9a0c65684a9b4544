package org.persimmonwalk.admission;

import java.time.Duration;
import java.util.Optional;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ShareLease;
import org.persimmonwalk.model.TokenOrder;
import org.persimmonwalk.observation.DemandMeasured;
import org.persimmonwalk.observation.TokenOrderDone;

/**
 * The tokens of one workspace at this host. Each method runs as a whole under the object's monitor,
 * so that a token is either taken by a statement or moved to a peer.
 */
final class TokenBucket {
  private static final double SECOND = 1e9;

  /** Covers rounding of shares whose sum is a whole statement; the debt does not add up. */
  private static final double ROUNDING = 1e-9;

  private static final Duration MEASURING_INTERVAL = Duration.ofMillis(200);

  /** A workspace that runs out of tokens is reported sooner, so that peers can help in time. */
  private static final Duration LOW_MEASURING_INTERVAL = Duration.ofMillis(20);

  /** Demand is averaged over about this many statements, so that small demand is not all noise. */
  private static final double DEMAND_MEMORY_STATEMENTS = 16;

  private static final double SHORTEST_MEMORY_SECONDS = 1;
  private static final double LONGEST_MEMORY_SECONDS = 10;
  private static final double NO_DEMAND = 0.01;

  private final WorkspaceId workspace;
  private Optional<ShareLease> lease = Optional.empty();
  private long appliedRound;
  private long carriedOutOrder;
  private double tokens;
  private MonotonicTime filledAt;
  private long offered;
  private double demand;
  private MonotonicTime measuredAt;

  private TokenBucket(WorkspaceId workspace, MonotonicTime now) {
    this.workspace = workspace;
    this.filledAt = now;
    this.measuredAt = now;
  }

  static TokenBucket empty(WorkspaceId workspace, MonotonicTime now) {
    return new TokenBucket(workspace, now);
  }

  /**
   * Puts the lease of a snapshot in force, unless one of the same or a newer round is, and carries
   * out its token order.
   */
  synchronized Optional<TokenOrderDone> apply(
      long round, Optional<ShareLease> newest, MonotonicTime publishedAt) {
    if (round <= appliedRound) {
      return Optional.empty();
    }
    appliedRound = round;
    fill(publishedAt);
    lease = newest;
    if (newest.isEmpty()) {
      tokens = 0;
      carriedOutOrder = 0;
      return Optional.empty();
    }
    Optional<TokenOrderDone> done = carryOut(newest.get());
    tokens = Math.min(tokens, newest.get().burst());
    return done;
  }

  /** Takes a token if there is one and the lease has not ended. */
  synchronized boolean admit(MonotonicTime now) {
    offered++;
    fill(now);
    if (tokens < 1 - ROUNDING) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** Returns a measurement if one is due. */
  synchronized Optional<DemandMeasured> measure(MonotonicTime now) {
    Duration elapsed = now.since(measuredAt);
    if (elapsed.compareTo(isLow() ? LOW_MEASURING_INTERVAL : MEASURING_INTERVAL) < 0
        || (offered == 0 && demand == 0)) {
      return Optional.empty();
    }
    double seconds = elapsed.toNanos() / SECOND;
    double newest = offered / seconds;
    double memory = DEMAND_MEMORY_STATEMENTS / Math.max(newest, demand);
    memory = Math.min(LONGEST_MEMORY_SECONDS, Math.max(SHORTEST_MEMORY_SECONDS, memory));
    demand += (newest - demand) * -Math.expm1(-seconds / memory);
    if (demand < NO_DEMAND) {
      demand = 0;
    }
    offered = 0;
    measuredAt = now;
    fill(now);
    return Optional.of(new DemandMeasured(workspace, demand, tokens, now));
  }

  private boolean isLow() {
    return offered > 0 && lease.isPresent() && tokens < reserve(lease.get());
  }

  private boolean isLeased(MonotonicTime now) {
    return lease.isPresent() && now.isBefore(lease.get().end());
  }

  /** Another thread may have filled the bucket at a later time; then the clock stays there. */
  private void fill(MonotonicTime now) {
    MonotonicTime time = now.isAfter(filledAt) ? now : filledAt;
    if (isLeased(time)) {
      double gained = lease.get().rate() * time.since(filledAt).toNanos() / SECOND;
      tokens = Math.min(lease.get().burst(), tokens + gained);
    } else {
      tokens = 0;
    }
    filledAt = time;
  }

  /** Returns the tokens below which this host gives none away and looks for more. */
  private static double reserve(ShareLease lease) {
    return Math.max(1, lease.burst() / 4);
  }

  /** Prefers tokens that the lowered burst no longer holds, and keeps the reserve of this host. */
  private Optional<TokenOrderDone> carryOut(ShareLease newest) {
    TokenOrder order = newest.order();
    if (order.number() <= carriedOutOrder) {
      return Optional.empty();
    }
    carriedOutOrder = order.number();
    double spare =
        Math.max(Math.min(tokens / 2, tokens - reserve(newest)), tokens - newest.burst());
    double withdrawn = Math.max(0, Math.min(order.withdrawal(), spare));
    tokens += order.deposit() - withdrawn;
    return Optional.of(new TokenOrderDone(workspace, order.number(), withdrawn));
  }
}
