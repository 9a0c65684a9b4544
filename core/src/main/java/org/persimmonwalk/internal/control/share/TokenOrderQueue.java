package org.persimmonwalk.internal.control.share;

import java.util.OptionalDouble;
import org.persimmonwalk.model.TokenOrder;

/**
 * Collects deposits into and withdrawals from a workspace's token bucket and publishes them as
 * token orders, one at a time. The admission policy, which owns the bucket, executes them.
 */
final class TokenOrderQueue {
  private TokenOrder order = TokenOrder.NONE;
  private boolean inFlight;
  private boolean inFlightWithdrawal;
  private double pendingDeposit;
  private OptionalDouble pendingWithdrawal = OptionalDouble.empty();
  private OptionalDouble withdrawn = OptionalDouble.empty();

  private TokenOrderQueue() {}

  /** Returns a queue that has published no order. */
  static TokenOrderQueue create() {
    return new TokenOrderQueue();
  }

  void deposit(double tokens) {
    pendingDeposit += tokens;
  }

  void withdraw(double tokens) {
    pendingWithdrawal = OptionalDouble.of(tokens);
    withdrawn = OptionalDouble.empty();
  }

  /** Returns the tokens of a finished withdrawal, once; empty if there are none. */
  OptionalDouble takeWithdrawn() {
    OptionalDouble taken = withdrawn;
    withdrawn = OptionalDouble.empty();
    return taken;
  }

  void completed(long number, double tokens) {
    if (!inFlight || number != order.number()) {
      return;
    }
    inFlight = false;
    if (inFlightWithdrawal) {
      withdrawn = OptionalDouble.of(tokens);
    }
  }

  /**
   * Returns the order to publish. It is a new one if tokens are pending and the last order was
   * executed.
   */
  TokenOrder order() {
    if (!inFlight && (pendingDeposit > 0 || pendingWithdrawal.isPresent())) {
      order = TokenOrder.of(order.number() + 1, pendingDeposit, pendingWithdrawal.orElse(0));
      inFlight = true;
      inFlightWithdrawal = pendingWithdrawal.isPresent();
      pendingDeposit = 0;
      pendingWithdrawal = OptionalDouble.empty();
    }
    return order;
  }

  /** Returns the deposited tokens that are not in an order yet and need room in the bucket. */
  double pendingDeposit() {
    return pendingDeposit;
  }
}
