package org.persimmonwalk.retry;

import org.persimmonwalk.result.StatementState;
import org.persimmonwalk.routing.StatementKind;

/**
 * Determines whether a statement may have run when its backend connection was lost. The state
 * {@code NOT_RUN} means that the statement has had no effect and will have none.
 */
public final class OutcomeClassifier {

  private OutcomeClassifier() {}

  /**
   * Returns the state of the statement.
   *
   * @param phase how far the statement had progressed
   * @param kind whether the statement only reads; reads run in read-only transactions
   */
  public static StatementState classify(StatementPhase phase, StatementKind kind) {
    return switch (phase) {
      case NOT_SENT, SENT_IN_TRANSACTION -> StatementState.NOT_RUN;
      case COMMIT_SENT -> StatementState.UNKNOWN;
      case SENT_OUTSIDE_TRANSACTION, ANSWER_STARTED ->
          kind == StatementKind.READ ? StatementState.NOT_RUN : StatementState.UNKNOWN;
    };
  }
}
