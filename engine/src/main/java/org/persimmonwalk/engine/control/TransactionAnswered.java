package org.persimmonwalk.engine.control;

import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.engine.RoutingConfiguration;

/**
 * A transaction has ended, with an answer or without.
 *
 * @param rows the current content of the rows that the answer returned: those written if the
 *     transaction was applied, those expected if there was a conflict
 * @param configuration the configuration, if the answer returned it
 * @param time a reading of the store's clock, if the store answered
 */
public record TransactionAnswered(
    RunTransaction transaction,
    TransactionResult result,
    Map<RowKey, StoredRow> rows,
    Optional<RoutingConfiguration> configuration,
    Optional<StoreTime> time)
    implements Observation {

  /** Returns the end of a transaction that was not run or whose effect is unknown. */
  public static TransactionAnswered without(RunTransaction transaction, TransactionResult result) {
    return new TransactionAnswered(
        transaction, result, Map.of(), Optional.empty(), Optional.empty());
  }
}
