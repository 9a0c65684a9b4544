package org.persimmonwalk.internal.engine.traffic;

/**
 * Bounds the additional load that retries put on servers: in the long run one retry for ten
 * requests. Without it every server that fails adds its load to the others, which then fail too.
 */
final class RetryBudget {
  /** One request in ten, counted in tenths of a retry. */
  private static final int EARNED_PER_REQUEST = 1;

  private static final int COST_OF_RETRY = 10;

  /**
   * What may be saved up: ten retries. A server that fails has about as many requests of one host
   * before it is ejected.
   */
  private static final int MAXIMUM = 10 * COST_OF_RETRY;

  private int available = MAXIMUM;

  void recordRequest() {
    available = Math.min(MAXIMUM, available + EARNED_PER_REQUEST);
  }

  /** Takes one retry from the budget; returns false if it is spent. */
  boolean spend() {
    if (available < COST_OF_RETRY) {
      return false;
    }
    available -= COST_OF_RETRY;
    return true;
  }
}
