package org.persimmonwalk.model;

import java.time.Duration;
import java.util.Objects;
import org.persimmonwalk.id.GrantId;

/**
 * What a table row grants to one entry host.
 *
 * <p>The row states a duration and no instant, since hosts have no common clock. The holder counts
 * the duration from before it wrote the row, and another host from after it first read the grant,
 * so that the holder always counts from the earlier instant.
 *
 * @param id the grant; as long as it is in the row, the holder has not renewed
 * @param amount units of the row's total
 * @param duration for how long the holder may use the amount
 */
public record Grant(GrantId id, long amount, Duration duration) {

  /** Checks that the amount is above 0. */
  public Grant {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(duration, "duration");
    if (amount <= 0) {
      throw new IllegalArgumentException("grant " + id + " needs an amount above 0");
    }
  }

  /** Returns a grant of the given amount. */
  public static Grant of(GrantId id, long amount, Duration duration) {
    return new Grant(id, amount, duration);
  }

  /** Returns the same grant with another amount. */
  public Grant withAmount(long newAmount) {
    return new Grant(id, newAmount, duration);
  }
}
