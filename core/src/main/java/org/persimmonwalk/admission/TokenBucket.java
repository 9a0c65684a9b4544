package org.persimmonwalk.admission;

import java.time.Duration;
import java.util.Optional;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ShareLease;
import org.persimmonwalk.model.TokenOrder;
import org.persimmonwalk.observation.DemandMeasured;
import org.persimmonwalk.observation.TokenOrderCompleted;

/**
 * The token bucket of one workspace at this host. Traffic threads take tokens and the control
 * thread applies leases; every method is synchronized, so that a token is either used by a
 * statement or transferred to a peer, never both.
 */
final class TokenBucket {
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  /**
   * Allows for rounding when shares add up to a whole token. The deficit that this causes does not
   * accumulate.
   */
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private static final Duration MEASURING_INTERVAL = Duration.ofMillis(200);

  /** Used while few tokens are left, so that peers learn early enough to transfer some. */
  private static final Duration LOW_TOKENS_MEASURING_INTERVAL = Duration.ofMillis(20);

  /** Demand is averaged over about this many statements, to reduce noise when demand is small. */
  private static final double DEMAND_AVERAGE_STATEMENTS = 16;

  private static final double MINIMUM_AVERAGING_SECONDS = 1;
  private static final double MAXIMUM_AVERAGING_SECONDS = 10;

  /** Demand below this many statements per second is treated as none. */
  private static final double NEGLIGIBLE_DEMAND = 0.01;

  private final WorkspaceId workspace;
  private Optional<ShareLease> lease = Optional.empty();
  private long appliedRound;
  private long lastExecutedOrder;
  private double tokens;
  private MonotonicTime refilledAt;
  private long arrivals;
  private double demand;
  private MonotonicTime measuredAt;

  private TokenBucket(WorkspaceId workspace, MonotonicTime now) {
    this.workspace = workspace;
    this.refilledAt = now;
    this.measuredAt = now;
  }

  static TokenBucket empty(WorkspaceId workspace, MonotonicTime now) {
    return new TokenBucket(workspace, now);
  }

  /**
   * Applies the lease of a snapshot and executes its token order, unless a snapshot of the same or
   * a newer round has already been applied.
   *
   * @return the result of the token order, if it was executed now
   */
  synchronized Optional<TokenOrderCompleted> apply(
      long round, Optional<ShareLease> newest, MonotonicTime roundStartedAt) {
    if (round <= appliedRound) {
      return Optional.empty();
    }
    appliedRound = round;
    refill(roundStartedAt);
    lease = newest;
    if (newest.isEmpty()) {
      tokens = 0;
      lastExecutedOrder = 0;
      return Optional.empty();
    }
    Optional<TokenOrderCompleted> completed = execute(newest.get());
    tokens = Math.min(tokens, newest.get().burst());
    return completed;
  }

  /** Takes a token, unless there is none or the lease has expired. */
  synchronized boolean admit(MonotonicTime now) {
    arrivals++;
    refill(now);
    if (tokens < 1 - ROUNDING_TOLERANCE) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** Returns the measured demand and the remaining tokens if a measurement is due. */
  synchronized Optional<DemandMeasured> measure(MonotonicTime now) {
    Duration elapsed = now.since(measuredAt);
    if (elapsed.compareTo(isLowOnTokens() ? LOW_TOKENS_MEASURING_INTERVAL : MEASURING_INTERVAL) < 0
        || (arrivals == 0 && demand == 0)) {
      return Optional.empty();
    }
    double seconds = elapsed.toNanos() / NANOSECONDS_PER_SECOND;
    double currentRate = arrivals / seconds;
    double averagingSeconds = DEMAND_AVERAGE_STATEMENTS / Math.max(currentRate, demand);
    averagingSeconds =
        Math.min(MAXIMUM_AVERAGING_SECONDS, Math.max(MINIMUM_AVERAGING_SECONDS, averagingSeconds));
    demand += (currentRate - demand) * -Math.expm1(-seconds / averagingSeconds);
    if (demand < NEGLIGIBLE_DEMAND) {
      demand = 0;
    }
    arrivals = 0;
    measuredAt = now;
    refill(now);
    return Optional.of(new DemandMeasured(workspace, demand, tokens, now));
  }

  private boolean isLowOnTokens() {
    return arrivals > 0 && lease.isPresent() && tokens < reserve(lease.get());
  }

  private boolean isLeased(MonotonicTime now) {
    return lease.isPresent() && now.isBefore(lease.get().end());
  }

  /**
   * Adds the tokens gained since the last refill. Another thread may have refilled the bucket at a
   * later time already; that time then stays.
   */
  private void refill(MonotonicTime now) {
    MonotonicTime time = now.isAfter(refilledAt) ? now : refilledAt;
    if (isLeased(time)) {
      double gained =
          lease.get().rate() * time.since(refilledAt).toNanos() / NANOSECONDS_PER_SECOND;
      tokens = Math.min(lease.get().burst(), tokens + gained);
    } else {
      tokens = 0;
    }
    refilledAt = time;
  }

  /** Returns the number of tokens below which this host gives none to peers and reports sooner. */
  private static double reserve(ShareLease lease) {
    return Math.max(1, lease.burst() / 4);
  }

  /**
   * Executes the token order of a lease, once. A withdrawal takes at most half of the tokens and
   * leaves the reserve of this host, but it may always take the tokens above the lowered burst,
   * because they would be discarded otherwise.
   */
  private Optional<TokenOrderCompleted> execute(ShareLease newest) {
    TokenOrder order = newest.order();
    if (order.number() <= lastExecutedOrder) {
      return Optional.empty();
    }
    lastExecutedOrder = order.number();
    double surplus =
        Math.max(Math.min(tokens / 2, tokens - reserve(newest)), tokens - newest.burst());
    double withdrawn = Math.max(0, Math.min(order.withdrawal(), surplus));
    tokens += order.deposit() - withdrawn;
    return Optional.of(new TokenOrderCompleted(workspace, order.number(), withdrawn));
  }
}
