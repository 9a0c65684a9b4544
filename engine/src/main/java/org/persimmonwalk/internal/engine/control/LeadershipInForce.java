package org.persimmonwalk.internal.engine.control;

import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.RememberedRows;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.id.DatabaseGroupId;

/**
 * Decides which leadership row of a group is in force while the current era of the store isn't
 * settled: the newer one of the stored and the remembered row, if this host has verified the group
 * so recently that no replacement can have been ordered without its notice. Otherwise none is.
 */
final class LeadershipInForce {

  private LeadershipInForce() {}

  /**
   * Returns the row in force, which may be absent; empty if it isn't known or if a replacement was
   * announced, whose steps the store may have lost.
   */
  static Optional<StoredRow> of(Blackboard blackboard, DatabaseGroupId group) {
    StoredRow stored = KnownRows.row(blackboard, Leadership.row(group));
    if (StoreEraRow.isSettled(blackboard) || StoreEraRow.isFirstUse(blackboard)) {
      return Optional.of(stored);
    }
    return Optional.of(newest(blackboard, group))
        .filter(row -> isKnown(blackboard, group))
        .filter(LeadershipInForce::isStable);
  }

  /** Returns the newer one of the stored and the remembered row, whether it is in force or not. */
  static StoredRow newest(Blackboard blackboard, DatabaseGroupId group) {
    RowKey key = Leadership.row(group);
    RememberedRows remembered = blackboard.get(EngineEntries.REMEMBERED_ROWS);
    return remembered.newest(key, KnownRows.row(blackboard, key));
  }

  private static boolean isKnown(Blackboard blackboard, DatabaseGroupId group) {
    return blackboard.get(EngineEntries.REMEMBERED_ROWS).verifiedGroups().contains(group);
  }

  private static boolean isStable(StoredRow row) {
    return Leadership.parse(row)
        .map(leadership -> leadership.phase() == Leadership.Phase.STABLE)
        .orElse(true);
  }
}
