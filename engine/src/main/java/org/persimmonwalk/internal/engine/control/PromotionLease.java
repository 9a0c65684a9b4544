package org.persimmonwalk.internal.engine.control;

import java.util.Optional;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.id.EntryHostId;

/**
 * The lease that a host must hold to promote a server; at most one host holds it, for all groups
 * together. Stored as one row.
 *
 * @param fencingToken the fencing token; rises by one with each holder
 * @param expiresAtMillis the store's time from which another host may take the lease
 */
record PromotionLease(EntryHostId holder, long fencingToken, long expiresAtMillis) {

  static final RowKey ROW = RowKey.of("duty", "promotion");

  private static final String SEPARATOR = " ";
  private static final int PARTS = 3;

  /**
   * Returns the fencing token of the next holder. If the row can't be read, that is the version of
   * the row plus one: each holder has written the row once or more, and versions rise with each
   * write, so it is higher than each token used before.
   */
  static long nextFencingToken(StoredRow row) {
    return parse(row).map(lease -> lease.fencingToken).orElse(row.version()) + 1;
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
      boolean isPossible = token >= 0 && token <= row.version();
      return isPossible
          ? Optional.of(
              new PromotionLease(EntryHostId.ofExternal(parts[0]), token, Long.parseLong(parts[2])))
          : Optional.empty();
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
