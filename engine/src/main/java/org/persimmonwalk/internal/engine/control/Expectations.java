package org.persimmonwalk.internal.engine.control;

import java.util.HashMap;
import java.util.Map;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.id.DatabaseGroupId;

/** The versions that a transaction states so that its answer verifies what this host knows. */
final class Expectations {

  private Expectations() {}

  /** Returns the configuration row and the leadership rows with the versions known. */
  static Map<RowKey, Long> verifying(Blackboard blackboard) {
    Map<RowKey, Long> expected = new HashMap<>();
    expected.put(RowKey.CONFIGURATION, version(blackboard, RowKey.CONFIGURATION));
    for (DatabaseGroupId group : blackboard.get(EngineEntries.CONFIGURATION).groups().keySet()) {
      RowKey row = Leadership.row(group);
      expected.put(row, version(blackboard, row));
    }
    return expected;
  }

  /** Returns the row as it is known. */
  static StoredRow known(Blackboard blackboard, RowKey row) {
    return blackboard.get(EngineEntries.ROWS).getOrDefault(row, StoredRow.ABSENT);
  }

  /** Returns the version of a row as it is known; 0 if it is not known to exist. */
  static long version(Blackboard blackboard, RowKey row) {
    return known(blackboard, row).version();
  }
}
