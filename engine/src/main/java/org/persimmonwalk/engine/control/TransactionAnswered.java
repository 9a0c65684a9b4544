package org.persimmonwalk.engine.control;

import java.util.HashMap;
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
 * @param era the era of the store that answered; unknown if it doesn't tell
 * @param time a reading of the store's clock, if the store answered
 */
public record TransactionAnswered(
    RunTransaction transaction,
    TransactionResult result,
    Map<RowKey, StoredRow> rows,
    Optional<RoutingConfiguration> configuration,
    StoreEra era,
    Optional<StoreTime> time)
    implements Observation {

  /** Returns the end of a transaction that was not run or whose effect is unknown. */
  public static TransactionAnswered without(RunTransaction transaction, TransactionResult result) {
    return new TransactionAnswered(
        transaction, result, Map.of(), Optional.empty(), StoreEra.UNKNOWN, Optional.empty());
  }

  /** Returns whether the store has told whether the transaction was applied. */
  public boolean isAnswered() {
    return result == TransactionResult.APPLIED || result == TransactionResult.CONFLICT;
  }

  /** Returns the same answer of a store that has told the given era. */
  public TransactionAnswered inEra(StoreEra told) {
    Map<RowKey, StoredRow> read = new HashMap<>();
    rows.forEach((key, row) -> read.put(key, row.inEra(told)));
    return new TransactionAnswered(transaction, result, read, configuration, told, time);
  }

  /**
   * Returns the answer to a transaction that was applied in another era than the one in which its
   * expected versions were read. Its condition may have held by accident, so only the time counts.
   */
  public TransactionAnswered withoutEffect() {
    return new TransactionAnswered(
        transaction, TransactionResult.UNKNOWN, Map.of(), Optional.empty(), era, time);
  }
}
