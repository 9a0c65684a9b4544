package org.persimmonwalk.internal.control.lease;

import java.time.Duration;
import java.util.Objects;
import org.persimmonwalk.model.Grant;

/**
 * How long leases last and how long before the end the holder stops using them.
 *
 * @param duration the duration of a grant in a row
 * @param safetyMargin how long before the end of a lease its units are no longer used
 */
public record LeaseSettings(Duration duration, Duration safetyMargin) {

  /** The 2 s margin for rate shares only has to cover the longest time between control rounds. */
  public static final LeaseSettings SHARES =
      new LeaseSettings(Duration.ofHours(1), Duration.ofSeconds(2));

  /** Connections must be closed before the lease ends, after the statements that run on them. */
  public static final LeaseSettings CONNECTIONS =
      new LeaseSettings(Duration.ofHours(1), Duration.ofSeconds(10));

  /** Checks that the lease is at least 4 times as long as its safety margin. */
  public LeaseSettings {
    Objects.requireNonNull(safetyMargin, "safetyMargin");
    if (duration.compareTo(safetyMargin.multipliedBy(4)) < 0) {
      throw new IllegalArgumentException(
          "a lease duration of "
              + duration
              + " is too short: it must be at least 4 times the safety margin of "
              + safetyMargin);
    }
  }

  /** Returns how long the holder may use a grant, counted from before it sent the write. */
  Duration usableDuration() {
    return duration.multipliedBy(9).dividedBy(10);
  }

  /** Returns the age at which a grant is renewed. */
  Duration renewAfter() {
    return duration.dividedBy(3);
  }

  /**
   * Returns how long after the end of a lease to a peer the owner waits to reuse the lent units.
   */
  Duration lentMargin() {
    return duration.dividedBy(100);
  }

  /** Returns for how long units must still be usable for a transfer to be worthwhile. */
  Duration minTransferDuration() {
    return safetyMargin.multipliedBy(2);
  }

  /** Returns after how long a host again reads a row that had no units left for it. */
  Duration fullRowRetryDelay() {
    return duration.dividedBy(12);
  }

  /**
   * Returns how long another host must have seen a grant unchanged before it may treat the units as
   * free. The margin of a tenth covers clocks that run at different speeds.
   */
  static Duration reclaimAfter(Grant grant) {
    return grant.duration().multipliedBy(11).dividedBy(10);
  }
}
