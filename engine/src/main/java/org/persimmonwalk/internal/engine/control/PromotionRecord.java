package org.persimmonwalk.internal.engine.control;

import java.util.Optional;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;

/**
 * What the holders of the promotion lease leave for the next holder about a group, in a row that is
 * read and written only during promotions.
 *
 * @param term the term of the primary that was recorded last; 0 if none is known
 * @param orderedFor the version of the leadership row for which a promotion was ordered last; 0 if
 *     none was ordered since a primary was recorded; -1 if the store may have lost the record of an
 *     order. The order may still take effect.
 * @param orderedServer the server of that order
 * @param startedAtMillis when that server's process started
 */
record PromotionRecord(
    long term, long orderedFor, BackendServerId orderedServer, long startedAtMillis) {

  private static final String SEPARATOR = " ";
  private static final int PARTS = 4;

  /** An order that may have been lost, for whichever version of the leadership row. */
  private static final long ANY_VERSION = -1;

  private static final PromotionRecord NONE = recorded(0);

  /** Returns the record after a primary of the given term was recorded. */
  static PromotionRecord recorded(long term) {
    return new PromotionRecord(term, 0, Leadership.NO_SERVER, 0);
  }

  /**
   * Returns the record after the store came back from a copy, which may have lost an order.
   *
   * @param remembered what this host knew before
   */
  PromotionRecord afterReturn(PromotionRecord remembered) {
    boolean isOrderRemembered = remembered.orderedFor != 0;
    return new PromotionRecord(
        Math.max(term, remembered.term),
        ANY_VERSION,
        isOrderRemembered ? remembered.orderedServer : orderedServer,
        isOrderRemembered ? remembered.startedAtMillis : startedAtMillis);
  }

  /** Returns the record of a promotion that is about to be ordered. */
  PromotionRecord ordered(long leadershipVersion, ServerEntry server) {
    return new PromotionRecord(term, leadershipVersion, server.id(), server.startedAtMillis());
  }

  static RowKey row(DatabaseGroupId group) {
    return RowKey.ofName("promotion", group.value());
  }

  /** Parses the row. One that is absent or can't be read tells nothing. */
  static PromotionRecord parse(StoredRow row) {
    return read(row).orElse(NONE);
  }

  /** Returns whether the row exists and can't be read. */
  static boolean isUnreadable(StoredRow row) {
    return row.exists() && read(row).isEmpty();
  }

  private static Optional<PromotionRecord> read(StoredRow row) {
    String[] parts = row.value().split(SEPARATOR, PARTS + 1);
    if (parts.length != PARTS) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new PromotionRecord(
              Long.parseLong(parts[0]),
              Long.parseLong(parts[1]),
              BackendServerId.ofExternal(parts[2]),
              Long.parseLong(parts[3])));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /** Returns whether a promotion of the server may still take effect. */
  boolean isOrdered(long leadershipVersion, ServerEntry server) {
    return isOrderPending(leadershipVersion)
        && orderedServer.equals(server.id())
        && startedAtMillis == server.startedAtMillis();
  }

  /** Returns whether a promotion for the version of the leadership row may still take effect. */
  boolean isOrderPending(long leadershipVersion) {
    return orderedFor == leadershipVersion || isOrderUnknown();
  }

  /** Returns whether the store may have lost the record of an order. */
  boolean isOrderUnknown() {
    return orderedFor == ANY_VERSION;
  }

  String text() {
    return String.join(
        SEPARATOR,
        Long.toString(term),
        Long.toString(orderedFor),
        orderedServer.value(),
        Long.toString(startedAtMillis));
  }
}
