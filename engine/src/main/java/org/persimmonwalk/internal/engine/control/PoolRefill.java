package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import org.persimmonwalk.engine.RateLimit;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The part of a workspace's rate that a lender adds to its pool itself, without a call to the
 * store. The rate row records this part with the tokens held, and its bucket is refilled with the
 * rest of the rate only, so that all hosts together get no more than the rate.
 *
 * <p>Answers the load of a store that is down, slow or losing answers: a pool holds tokens for less
 * than two seconds of demand, while primaries can be used for three seconds without the store.
 */
final class PoolRefill {
  /**
   * How long a pool is refilled after the call that recorded it. Later no host may use a primary
   * without having reached the store.
   */
  static final Duration VALIDITY = EngineTimings.VERIFICATION_VALIDITY;

  /** A refill is recorded anew this long after it began, with the next call that is due. */
  private static final Duration RENEWAL_AGE = Duration.ofMillis(800);

  private static final double NANOS_PER_SECOND = 1e9;

  private double perSecond;
  private long mostHeld;
  private double fraction;
  private MonotonicTime beganAt;
  private MonotonicTime creditedAt;

  PoolRefill(MonotonicTime now) {
    this.beganAt = now.minus(VALIDITY);
    this.creditedAt = now;
  }

  /**
   * Returns the tokens to add to the pool. What a full pool can't take is lost: it may hold no more
   * than the row records.
   *
   * @param held the tokens in the pool and those lent
   */
  long credit(long held, MonotonicTime now) {
    MonotonicTime end = beganAt.plus(VALIDITY);
    MonotonicTime until = now.isBefore(end) ? now : end;
    if (perSecond == 0 || !creditedAt.isBefore(until)) {
      return 0;
    }
    fraction += perSecond * until.since(creditedAt).toNanos() / NANOS_PER_SECOND;
    creditedAt = until;
    long whole = (long) fraction;
    long added = Math.max(0, Math.min(whole, mostHeld - held));
    fraction = added < whole ? 0 : fraction - whole;
    return added;
  }

  /**
   * Called before a write that records another refill. Until its outcome is known, only what both
   * the row before and the row after allow may be added.
   *
   * @param newMostHeld the tokens that the row then records, without those that the write takes
   */
  void startRecording(double newPerSecond, long newMostHeld) {
    perSecond = Math.min(perSecond, newPerSecond);
    mostHeld = Math.min(mostHeld, newMostHeld);
  }

  /**
   * Called when the write has been applied.
   *
   * @param recordedPerSecond the tokens per second that the row records for this pool
   * @param recordedTokens the tokens that the row records as held
   * @param startedAt when the write was planned
   */
  void begin(double recordedPerSecond, long recordedTokens, MonotonicTime startedAt) {
    perSecond = recordedPerSecond;
    mostHeld = recordedTokens;
    beganAt = startedAt;
    creditedAt = creditedAt.isBefore(startedAt) ? startedAt : creditedAt;
  }

  /**
   * Lowers the refill in proportion to a limit that is lowered. All holders do so, so that together
   * they stay within their part of the new rate.
   *
   * @param before the limit until now; null if there was none
   * @param after the limit from now on; null if there is none
   */
  void lower(RateLimit before, RateLimit after) {
    perSecond *=
        before == null || after == null ? 0 : Math.min(1, after.perSecond() / before.perSecond());
  }

  /** Ends the refill: the pool borrows now, or its tokens were dropped. */
  void stop() {
    perSecond = 0;
    fraction = 0;
  }

  boolean isActive(MonotonicTime now) {
    return perSecond > 0 && now.isBefore(beganAt.plus(VALIDITY));
  }

  /** Returns whether the row should record the refill anew with the next call. */
  boolean isAgeing(MonotonicTime now) {
    return perSecond > 0 && now.since(beganAt).compareTo(RENEWAL_AGE) >= 0;
  }
}
