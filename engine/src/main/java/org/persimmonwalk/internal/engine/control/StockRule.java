package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import org.persimmonwalk.model.MonotonicTime;

/** Decides whether a pool keeps tokens in stock, by who it lends for and when it was asked. */
final class StockRule {
  /** A host whose lender is lost asks the one that stands in at least this often. */
  private static final Duration STAND_IN_GAP = Duration.ofMillis(1000);

  /**
   * After requests for this long, a lender that stands in takes tokens in advance. A relay is
   * replaced within about 2.5 s; with 1 s, the stock of the stand-in was missing to the next relay.
   */
  private static final Duration STAND_IN_DELAY = Duration.ofMillis(3000);

  /**
   * The lender of a workspace keeps tokens this long after the last request, so that an operation
   * now and then doesn't wait for the store.
   */
  private static final Duration LENDER_RETENTION = Duration.ofSeconds(30);

  private boolean isLender;
  private MonotonicTime lastRequestAt;
  private MonotonicTime requestedSince;

  StockRule(MonotonicTime now) {
    this.lastRequestAt = now;
    this.requestedSince = now;
  }

  /** Sets whether this host is a lender of the workspace and not only stands in for one. */
  void setLender(boolean lender) {
    isLender = lender;
  }

  boolean isLender() {
    return isLender;
  }

  void recordRequest(MonotonicTime now) {
    if (now.since(lastRequestAt).compareTo(STAND_IN_GAP) > 0) {
      requestedSince = now;
    }
    lastRequestAt = now;
  }

  /**
   * Returns whether the pool takes tokens in advance: that of the lender, and that of a host that
   * has stood in for it for a while. Hosts ask another lender also when theirs replies late once;
   * if that one kept tokens too, both would write the row from then on.
   */
  boolean isKept() {
    return isLender || lastRequestAt.since(requestedSince).compareTo(STAND_IN_DELAY) >= 0;
  }

  /** Returns whether the pool is kept although no host has asked lately. */
  boolean isRetained(MonotonicTime now) {
    return isLender && now.since(lastRequestAt).compareTo(LENDER_RETENTION) < 0;
  }
}
