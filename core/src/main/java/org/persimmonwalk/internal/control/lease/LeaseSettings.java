package org.persimmonwalk.internal.control.lease;

import java.time.Duration;
import java.util.Objects;
import org.persimmonwalk.model.Grant;

/**
 * How long leases last and when they are given up.
 *
 * @param lease the duration that a row grants
 * @param closing how long before the end of a lease its units are no longer used
 */
public record LeaseSettings(Duration lease, Duration closing) {

  /** Shares need only the time in which the control thread surely runs a round. */
  public static final LeaseSettings SHARES =
      new LeaseSettings(Duration.ofHours(1), Duration.ofSeconds(2));

  /** Connections must be closed before the end, after the statement that runs on them. */
  public static final LeaseSettings CONNECTIONS =
      new LeaseSettings(Duration.ofHours(1), Duration.ofSeconds(10));

  /** Checks that the lease is long enough for its margins. */
  public LeaseSettings {
    Objects.requireNonNull(closing, "closing");
    if (lease.compareTo(closing.multipliedBy(4)) < 0) {
      throw new IllegalArgumentException("a lease of " + lease + " is too short to be used");
    }
  }

  /** Returns for how long the holder uses a grant, counted from before it wrote the row. */
  Duration usable() {
    return lease.multipliedBy(9).dividedBy(10);
  }

  /** Returns the age at which a grant is renewed. */
  Duration renewAfter() {
    return lease.dividedBy(3);
  }

  /** Returns how long after the end of units lent to a peer their owner uses them again. */
  Duration lentMargin() {
    return lease.dividedBy(100);
  }

  /** Returns for how long units must remain usable to be worth a transfer. */
  Duration shortestTransfer() {
    return closing.multipliedBy(2);
  }

  /** Returns how soon a host looks again at a row that had nothing left for it. */
  Duration retryFullRow() {
    return lease.dividedBy(12);
  }

  /**
   * Returns how long another host must have seen an unchanged grant before its units are free. The
   * margin of a tenth covers clocks that run at different speeds.
   */
  static Duration reclaimAfter(Grant grant) {
    return grant.duration().multipliedBy(11).dividedBy(10);
  }
}
