package org.persimmonwalk.internal.control.share;

import java.util.OptionalDouble;
import org.persimmonwalk.model.TokenOrder;

/** Moves tokens into and out of the bucket of the admission policy by one order at a time. */
final class TokenMoves {
  private TokenOrder order = TokenOrder.NONE;
  private boolean outstanding;
  private boolean outstandingWithdrawal;
  private double waitingDeposit;
  private OptionalDouble waitingWithdrawal = OptionalDouble.empty();
  private OptionalDouble withdrawn = OptionalDouble.empty();

  private TokenMoves() {}

  /** Returns moves without an order. */
  static TokenMoves create() {
    return new TokenMoves();
  }

  void deposit(double tokens) {
    waitingDeposit += tokens;
  }

  void withdraw(double tokens) {
    waitingWithdrawal = OptionalDouble.of(tokens);
    withdrawn = OptionalDouble.empty();
  }

  /** Returns the withdrawn tokens once. */
  OptionalDouble takeWithdrawn() {
    OptionalDouble taken = withdrawn;
    withdrawn = OptionalDouble.empty();
    return taken;
  }

  void done(long number, double tokens) {
    if (!outstanding || number != order.number()) {
      return;
    }
    outstanding = false;
    if (outstandingWithdrawal) {
      withdrawn = OptionalDouble.of(tokens);
    }
  }

  /** Returns the order to publish, a new one if tokens wait and the last one was carried out. */
  TokenOrder order() {
    if (!outstanding && (waitingDeposit > 0 || waitingWithdrawal.isPresent())) {
      order = TokenOrder.of(order.number() + 1, waitingDeposit, waitingWithdrawal.orElse(0));
      outstanding = true;
      outstandingWithdrawal = waitingWithdrawal.isPresent();
      waitingDeposit = 0;
      waitingWithdrawal = OptionalDouble.empty();
    }
    return order;
  }

  /** Returns the deposited tokens that are not in an order yet and still need room. */
  double waitingDeposit() {
    return waitingDeposit;
  }
}
