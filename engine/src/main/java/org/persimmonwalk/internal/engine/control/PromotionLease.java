package org.persimmonwalk.internal.engine.control;

import java.util.Optional;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.id.EntryHostId;

/**
 * The lease that a host must hold to promote a server; at most one host holds it, for all groups
 * together. Stored as one row.
 *
 * @param fencingToken the fencing token; rises with each holder
 * @param expiresAtMillis the store's time from which another host may take the lease
 */
record PromotionLease(EntryHostId holder, long fencingToken, long expiresAtMillis) {

  static final RowKey ROW = RowKey.of("duty", "promotion");

  private static final String SEPARATOR = " ";
  private static final int PARTS = 3;

  /** The bits of a fencing token that count the holders in an era. */
  private static final int COUNTER_BITS = 32;

  private static final long COUNTER_MASK = (1L << COUNTER_BITS) - 1;

  /**
   * Returns the fencing token of the next holder. It has the era in its high bits, because the
   * store may have lost the rows with the tokens of the earlier eras. If the row can't be read, the
   * low bits are the version of the row plus one: each holder has written the row once or more, and
   * versions rise with each write, so it is higher than each token used before in the era.
   */
  static long nextFencingToken(StoredRow row) {
    long lowest = lowestToken(row.version().era());
    long last = parse(row).map(lease -> lease.fencingToken).orElse(lowest + row.version().number());
    return Math.max(lowest, last) + 1;
  }

  private static long lowestToken(StoreEra era) {
    return era.isKnown() ? era.number() << COUNTER_BITS : 0;
  }

  /**
   * Returns the lease as the settlement of a new era writes it: held by nobody, until no holder of
   * the era before can order a promotion any more.
   */
  static PromotionLease blocked(EntryHostId host, StoreEra era, long storeMillis) {
    return new PromotionLease(host, lowestToken(era), storeMillis + HeldLease.DURATION.toMillis());
  }

  /** Returns whether the lease is free when the store's clock shows at least the given time. */
  static boolean isFree(StoredRow row, long storeMillis) {
    return parse(row).map(lease -> lease.expiresAtMillis <= storeMillis).orElse(true);
  }

  String text() {
    return String.join(
        SEPARATOR, holder.value(), Long.toString(fencingToken), Long.toString(expiresAtMillis));
  }

  /** Returns whether the row exists and can't be read. */
  static boolean isUnreadable(StoredRow row) {
    return row.exists() && parse(row).isEmpty();
  }

  private static Optional<PromotionLease> parse(StoredRow row) {
    String[] parts = row.value().split(SEPARATOR, PARTS + 1);
    if (parts.length != PARTS) {
      return Optional.empty();
    }
    try {
      long token = Long.parseLong(parts[1]);
      boolean isPossible =
          token >= 0
              && (token & COUNTER_MASK) <= row.version().number()
              && token >> COUNTER_BITS <= StoreEra.MAXIMUM_NUMBER;
      return isPossible
          ? Optional.of(
              new PromotionLease(EntryHostId.ofExternal(parts[0]), token, Long.parseLong(parts[2])))
          : Optional.empty();
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
