package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.control.TokenRequest;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The tokens of one host as last known here; it may have spent some of them since. {@code recorded}
 * counts those that the row records, {@code recording} those that a write in flight adds.
 */
final class HostLoan {
  /** A host without a request for this long has no sessions of the workspace any more. */
  private static final Duration PRESENCE_TIMEOUT = Duration.ofMillis(3000);

  private long tokens;
  private long recorded;
  private long recording;
  private long inTransit;
  private MonotonicTime inTransitUntil;
  private double demand;
  private long target;
  private MonotonicTime lastRequestAt;

  /** Updates to what the host says it holds; the row doesn't record tokens from other pools. */
  void update(TokenRequest request, MonotonicTime now) {
    tokens = request.held();
    inTransit = 0;
    recorded = Math.min(recorded, tokens);
    demand = request.demand();
    target = request.target();
    lastRequestAt = now;
  }

  /**
   * Adds tokens lent. A host has at most one request under way, so its next one tells that those
   * for waiting operations have arrived and counts what is left of them.
   */
  void add(long lent, long spentAtOnce, MonotonicTime spentBy) {
    tokens += lent;
    recorded += lent;
    if (spentAtOnce > 0) {
      inTransit += spentAtOnce;
      inTransitUntil = spentBy;
    }
  }

  long held() {
    return tokens + inTransit;
  }

  void dropInTransit(MonotonicTime now) {
    if (inTransit > 0 && !now.isBefore(inTransitUntil)) {
      inTransit = 0;
    }
  }

  boolean isRecorded() {
    return recorded == tokens;
  }

  void startRecording() {
    recording = tokens - recorded;
  }

  void confirmRecorded() {
    recorded = Math.min(tokens, recorded + recording);
    recording = 0;
  }

  boolean isActive(MonotonicTime now) {
    return now.since(lastRequestAt).compareTo(PRESENCE_TIMEOUT) < 0;
  }

  boolean hasExpired(MonotonicTime now) {
    return now.since(lastRequestAt).toMillis() > EngineTimings.TOKEN_VALIDITY.toMillis();
  }

  double demand() {
    return demand;
  }

  long target() {
    return target;
  }

  MonotonicTime lastRequestAt() {
    return lastRequestAt;
  }
}
