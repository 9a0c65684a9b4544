package org.persimmonwalk.engine.testing;

import java.time.Duration;
import java.util.function.Predicate;
import org.persimmonwalk.engine.control.RunTransaction;

/**
 * Decides which transactions get no answer from the fake store and take effect later, if their
 * condition still holds.
 */
public final class LateEffects {
  /** How many of the next transactions take effect late. */
  public int count;

  /** Which other transactions take effect late. */
  public Predicate<RunTransaction> matching = transaction -> false;

  /** How long after the call a late transaction takes effect. */
  public Duration delay = Duration.ofMillis(3000);

  /** Returns whether the next transaction, which is the given one, takes effect late. */
  boolean delayNext(RunTransaction transaction) {
    if (count > 0) {
      count--;
      return true;
    }
    return matching.test(transaction);
  }
}
