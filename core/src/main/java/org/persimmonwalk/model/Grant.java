package org.persimmonwalk.model;

import java.time.Duration;
import java.util.Objects;
import org.persimmonwalk.id.GrantId;

/**
 * The lease of one entry host on a part of the total of a table row.
 *
 * <p>The row contains a duration and not an instant, since hosts have no common clock. The holder
 * counts the duration from before it wrote the row, and other hosts count it from after they first
 * read the grant. The lease therefore expires for its holder first.
 *
 * @param id changes with each renewal; while the row contains the same id, the holder has not
 *     renewed the lease
 * @param amount the number of units of the row's total
 * @param duration for how long the holder may use the amount
 */
public record Grant(GrantId id, long amount, Duration duration) {

  /** Checks that the amount is above 0. */
  public Grant {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(duration, "duration");
    if (amount <= 0) {
      throw new IllegalArgumentException("grant " + id + " needs an amount above 0, not " + amount);
    }
  }

  /** Returns a grant of the given amount. */
  public static Grant of(GrantId id, long amount, Duration duration) {
    return new Grant(id, amount, duration);
  }

  /** Returns a copy of this grant with the given amount. */
  public Grant withAmount(long newAmount) {
    return new Grant(id, newAmount, duration);
  }
}
