package org.persimmonwalk.internal.engine.control;

import org.persimmonwalk.engine.control.RowKey;
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

  /** Returns the fencing token of the next holder, given the text of the row. */
  static long nextFencingToken(String text) {
    return isReadable(text) ? parse(text).fencingToken + 1 : 1;
  }

  /** Returns whether the lease is free when the store's clock shows at least the given time. */
  static boolean isFree(String text, long storeMillis) {
    return !isReadable(text) || parse(text).expiresAtMillis <= storeMillis;
  }

  String text() {
    return String.join(
        SEPARATOR, holder.value(), Long.toString(fencingToken), Long.toString(expiresAtMillis));
  }

  private static boolean isReadable(String text) {
    return text.split(SEPARATOR).length == PARTS;
  }

  private static PromotionLease parse(String text) {
    String[] parts = text.split(SEPARATOR);
    return new PromotionLease(
        EntryHostId.of(parts[0]), Long.parseLong(parts[1]), Long.parseLong(parts[2]));
  }
}
