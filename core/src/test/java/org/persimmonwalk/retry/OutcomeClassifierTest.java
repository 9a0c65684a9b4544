package org.persimmonwalk.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.persimmonwalk.result.StatementState;
import org.persimmonwalk.routing.StatementKind;

class OutcomeClassifierTest {

  /** Guards against a statement that is reported as not run although it may have taken effect. */
  @ParameterizedTest
  @CsvSource({
    "NOT_SENT, READ, NOT_RUN",
    "NOT_SENT, WRITE, NOT_RUN",
    "SENT_IN_TRANSACTION, READ, NOT_RUN",
    "SENT_IN_TRANSACTION, WRITE, NOT_RUN",
    "SENT_OUTSIDE_TRANSACTION, READ, NOT_RUN",
    "SENT_OUTSIDE_TRANSACTION, WRITE, UNKNOWN",
    "COMMIT_SENT, READ, UNKNOWN",
    "COMMIT_SENT, WRITE, UNKNOWN",
    "ANSWER_STARTED, READ, NOT_RUN",
    "ANSWER_STARTED, WRITE, UNKNOWN",
  })
  void shouldClassifyEachPhase(StatementPhase phase, StatementKind kind, StatementState state) {
    assertThat(OutcomeClassifier.classify(phase, kind)).isEqualTo(state);
  }
}
