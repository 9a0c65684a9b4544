package org.persimmonwalk.engine.control;

import java.util.Map;
import org.persimmonwalk.blackboard.Command;

/**
 * Writes rows on condition that the expected rows have the expected versions; without writes it
 * only verifies the versions. Ends with {@link TransactionAnswered}.
 *
 * @param expected the version that each row must have; absent if the row must not exist
 */
public record RunTransaction(
    TransactionTag tag, Map<RowKey, StoreVersion> expected, Map<RowKey, String> writes)
    implements Command {

  /** Makes the maps immutable. */
  public RunTransaction {
    expected = Map.copyOf(expected);
    writes = Map.copyOf(writes);
  }

  /** Returns whether the expected versions were read in the given era. */
  public boolean isOfEra(StoreEra era) {
    return expected.values().stream().allMatch(version -> version.era().equals(era));
  }
}
