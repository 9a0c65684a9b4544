package org.persimmonwalk.engine.control;

import java.util.Map;
import org.persimmonwalk.blackboard.Command;

/**
 * Writes rows if the rows stated still have the versions stated.
 *
 * @param expected the version that each row must have; 0 if it must not exist
 */
public record RunTransaction(
    TransactionTag tag, Map<RowKey, Long> expected, Map<RowKey, String> writes) implements Command {

  /** Makes the maps immutable. */
  public RunTransaction {
    expected = Map.copyOf(expected);
    writes = Map.copyOf(writes);
  }
}
