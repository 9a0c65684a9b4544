package org.persimmonwalk.internal.engine.control;

import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.StoredRow;

/**
 * The row that records up to which era the hosts have settled what the rows of the store mean. All
 * transactions on which a rule rests expect its version.
 *
 * @param era the era that was settled last
 * @param previous the era settled before; unknown if the store has not come back from a copy since
 *     the hosts use it
 * @param settledAtMillis the store's time at which it was settled
 */
record StoreEraRow(StoreEra era, StoreEra previous, long settledAtMillis) {

  static final RowKey ROW = RowKey.of("era", "store");

  private static final String SEPARATOR = " ";
  private static final int PARTS = 3;

  /** Parses the row. One that is absent or can't be read tells nothing. */
  static Optional<StoreEraRow> parse(StoredRow row) {
    String[] parts = row.value().split(SEPARATOR, PARTS + 1);
    if (parts.length != PARTS) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new StoreEraRow(
              StoreEra.of(Long.parseLong(parts[0])),
              StoreEra.of(Long.parseLong(parts[1])),
              Long.parseLong(parts[2])));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /** Returns the row as known in the current era. */
  static Optional<StoreEraRow> of(Blackboard blackboard) {
    return parse(KnownRows.row(blackboard, ROW));
  }

  /** Returns whether the rows may be used as they are. */
  static boolean isSettled(Blackboard blackboard) {
    StoreEra current = blackboard.get(EngineEntries.STORE_ERA);
    return !current.isKnown()
        || of(blackboard).filter(row -> row.era().equals(current)).isPresent();
  }

  /** Returns whether the store is used for the first time, so that it can't have lost anything. */
  static boolean isFirstUse(Blackboard blackboard) {
    return blackboard.get(EngineEntries.REMEMBERED_ROWS).isEmpty()
        && !KnownRows.row(blackboard, ROW).exists();
  }

  /** Returns whether the store has come back from a copy since the hosts use it. */
  boolean isAfterReturn() {
    return previous.isKnown();
  }

  String text() {
    return String.join(
        SEPARATOR, era.toString(), previous.toString(), Long.toString(settledAtMillis));
  }
}
