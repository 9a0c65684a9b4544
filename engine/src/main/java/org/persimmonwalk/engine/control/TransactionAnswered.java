package org.persimmonwalk.engine.control;

import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.engine.RoutingConfiguration;

/**
 * The end of a transaction.
 *
 * @param rows the rows whose current content the answer shows: those written if it was applied,
 *     those expected if there was a conflict
 * @param configuration the configuration, if the answer shows it
 * @param time a reading of the store's clock, if the store answered
 */
public record TransactionAnswered(
    RunTransaction transaction,
    TransactionResult result,
    Map<RowKey, StoredRow> rows,
    Optional<RoutingConfiguration> configuration,
    Optional<StoreTime> time)
    implements Observation {

  /** Returns the answer of a transaction whose effect is not known or that was not run. */
  public static TransactionAnswered without(RunTransaction transaction, TransactionResult result) {
    return new TransactionAnswered(
        transaction, result, Map.of(), Optional.empty(), Optional.empty());
  }
}
