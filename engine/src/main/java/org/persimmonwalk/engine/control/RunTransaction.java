package org.persimmonwalk.engine.control;

import java.util.Map;
import org.persimmonwalk.blackboard.Command;

/**
 * Writes rows on condition that the expected rows have the expected versions; without writes it
 * only verifies the versions. Ends with {@link TransactionAnswered}.
 *
 * @param expected the version that each row must have; 0 if the row must not exist
 */
public record RunTransaction(
    TransactionTag tag, Map<RowKey, Long> expected, Map<RowKey, String> writes) implements Command {

  /** Makes the maps immutable. */
  public RunTransaction {
    expected = Map.copyOf(expected);
    writes = Map.copyOf(writes);
  }
}
