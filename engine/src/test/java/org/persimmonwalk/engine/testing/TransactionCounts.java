package org.persimmonwalk.engine.testing;

import java.util.HashMap;
import java.util.Map;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionResult;

/** Counts the store transactions of all hosts by the purpose that their tag names. */
public final class TransactionCounts {
  /** The calls, which count as writes even if they write nothing; also those that are lost. */
  public int calls;

  /** The calls that reached the store. */
  public final Map<String, Integer> byPurpose = new HashMap<>();

  /** Those of them that conflicted. */
  public final Map<String, Integer> conflictsByPurpose = new HashMap<>();

  void record(TransactionAnswered answer) {
    String purpose = answer.transaction().tag().purpose();
    byPurpose.merge(purpose, 1, Integer::sum);
    if (answer.result() == TransactionResult.CONFLICT) {
      conflictsByPurpose.merge(purpose, 1, Integer::sum);
    }
  }
}
