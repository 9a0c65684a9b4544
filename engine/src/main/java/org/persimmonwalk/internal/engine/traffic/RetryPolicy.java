package org.persimmonwalk.internal.engine.traffic;

import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.engine.FailureCode;

/** Decides whether a request that a server has answered with a failure is sent again. */
final class RetryPolicy {
  private final ServerPools pools;
  private final ExecutionRequest request;
  private boolean repeatedOnSameServer;

  RetryPolicy(ServerPools pools, ExecutionRequest request) {
    this.pools = pools;
    this.request = request;
  }

  /**
   * Takes a retry from the budget if it needs one; returns false if the budget is spent. A replica
   * that lacks a position, or a connection that lost its names, has done no work, and the read goes
   * elsewhere once: this takes nothing from the budget.
   */
  boolean permits(Failure failure) {
    return failure.code() == FailureCode.BEHIND
        || failure.code() == FailureCode.UNKNOWN_NAME
        || !pools.isShared(request.group())
        || pools.retryBudget().spend();
  }

  /**
   * Returns whether a read that failed on the only server that can run it is sent there again. Once
   * only: a statement that is at fault itself fails each time.
   */
  boolean repeatsOnSameServer(Failure failure) {
    boolean isRepeated =
        !repeatedOnSameServer && !request.writes() && failure.code() == FailureCode.FAILED;
    repeatedOnSameServer |= isRepeated;
    return isRepeated;
  }
}
