package org.persimmonwalk.engine.testing;

import java.util.HashMap;
import java.util.Map;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionResult;

/** Counts store transactions, and those that conflicted, by the purpose that their tag names. */
final class TransactionCounts {
  final Map<String, Integer> all = new HashMap<>();
  final Map<String, Integer> conflicts = new HashMap<>();

  void count(TransactionAnswered answer) {
    String purpose = answer.transaction().tag().purpose();
    all.merge(purpose, 1, Integer::sum);
    if (answer.result() == TransactionResult.CONFLICT) {
      conflicts.merge(purpose, 1, Integer::sum);
    }
  }
}
