package org.persimmonwalk.internal.engine.control;

import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.id.EntryHostId;

/**
 * The row of the duty to promote: at most one host holds it, over all groups.
 *
 * @param fence rises by one with each holder
 * @param leaseEndMillis the store's time from which another host may take the duty
 */
record PromotionDuty(EntryHostId holder, long fence, long leaseEndMillis) {

  static final RowKey ROW = RowKey.of("duty", "promotion");

  private static final String SEPARATOR = " ";
  private static final int PARTS = 3;

  /** Returns the fence number that the next holder gets, given the text of the row. */
  static long nextFence(String text) {
    return isPresent(text) ? parse(text).fence + 1 : 1;
  }

  /** Returns whether the duty may be taken when the store's clock shows at least the given time. */
  static boolean isFree(String text, long storeMillis) {
    return !isPresent(text) || parse(text).leaseEndMillis <= storeMillis;
  }

  String text() {
    return String.join(
        SEPARATOR, holder.value(), Long.toString(fence), Long.toString(leaseEndMillis));
  }

  private static boolean isPresent(String text) {
    return text.split(SEPARATOR).length == PARTS;
  }

  private static PromotionDuty parse(String text) {
    String[] parts = text.split(SEPARATOR);
    return new PromotionDuty(
        EntryHostId.of(parts[0]), Long.parseLong(parts[1]), Long.parseLong(parts[2]));
  }
}
