package org.persimmonwalk.internal.engine.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.DatabaseGroupId;

/** Reads from the blackboard the store rows that this host knows, and their versions. */
final class KnownRows {

  private KnownRows() {}

  /**
   * Returns the known versions of the configuration row and the leadership rows. A transaction that
   * expects them verifies these rows.
   */
  static Map<RowKey, Long> versionsToVerify(Blackboard blackboard) {
    Map<RowKey, Long> expected = new HashMap<>();
    expected.put(RowKey.CONFIGURATION, version(blackboard, RowKey.CONFIGURATION));
    for (DatabaseGroupId group : blackboard.get(EngineEntries.CONFIGURATION).groups().keySet()) {
      RowKey row = Leadership.row(group);
      expected.put(row, version(blackboard, row));
    }
    return expected;
  }

  /** Returns the known versions of the rows that name the relays of the given zones. */
  static Map<RowKey, Long> relayVersions(Blackboard blackboard, Set<AvailabilityZone> zones) {
    Map<RowKey, Long> versions = new HashMap<>();
    for (AvailabilityZone zone : zones) {
      RowKey row = RelayController.row(zone);
      versions.put(row, version(blackboard, row));
    }
    return versions;
  }

  /** Returns the row as last seen; absent if it has never been seen. */
  static StoredRow row(Blackboard blackboard, RowKey row) {
    return blackboard.get(EngineEntries.STORE_ROWS).getOrDefault(row, StoredRow.ABSENT);
  }

  /** Returns the last seen version of the row; 0 if the row is absent or has never been seen. */
  static long version(Blackboard blackboard, RowKey row) {
    return row(blackboard, row).version();
  }
}
