package org.persimmonwalk.internal.engine.control;

import java.util.Optional;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.id.DatabaseGroupId;

/**
 * What the holders of the promotion lease leave for the next holder about a group, in a row that is
 * read and written only during promotions.
 *
 * @param term the term of the primary that was recorded last; 0 if none is known
 */
record PromotionRecord(long term) {

  private static final PromotionRecord NONE = new PromotionRecord(0);

  static RowKey row(DatabaseGroupId group) {
    return RowKey.of("promotion", group.value());
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
    try {
      return Optional.of(new PromotionRecord(Long.parseLong(row.value())));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  String text() {
    return Long.toString(term);
  }
}
