package org.persimmonwalk.internal.traffic.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.request.StatementRequest;
import org.persimmonwalk.result.StatementState;
import org.persimmonwalk.retry.OutcomeClassifier;
import org.persimmonwalk.routing.MinimumPosition;
import org.persimmonwalk.routing.StatementKind;

class LostCommitTest {

  private static BatchTraits inTransaction(String statement) {
    StatementRequest request =
        new StatementRequest(
            WorkspaceId.of("oil"),
            Optional.empty(),
            DatabaseGroupId.of("tanks"),
            StatementKind.WRITE,
            MinimumPosition.none(),
            Optional.empty(),
            Optional.empty(),
            MonotonicTime.of(0),
            MonotonicTime.of(1));
    return BatchTraits.of(
        new StatementBatch(List.of(), List.of(), List.of(statement), true, false), request, true);
  }

  /** Guards against a lost COMMIT that the caller is told has not run. */
  @ParameterizedTest
  @ValueSource(
      strings = {"COMMIT", "/* app */ COMMIT", "COMMIT -- on to", "COMMIT /* back to a */"})
  void shouldReportALostCommitAsUnknown(String statement) {
    assertThat(
            OutcomeClassifier.classify(
                inTransaction(statement).phaseAtLoss(false), StatementKind.WRITE))
        .isEqualTo(StatementState.UNKNOWN);
  }
}
