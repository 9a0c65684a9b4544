package org.persimmonwalk.internal.traffic.caller;

import java.util.List;
import java.util.Optional;
import org.persimmonwalk.internal.traffic.backend.ExchangePlan;
import org.persimmonwalk.internal.traffic.backend.SessionSettings;
import org.persimmonwalk.request.StatementRequest;
import org.persimmonwalk.retry.StatementPhase;
import org.persimmonwalk.routing.StatementKind;

/**
 * How a batch must be handled, depending on its statements and on whether its caller has an open
 * transaction.
 */
final class BatchTraits {
  private final StatementBatch batch;
  private final StatementRequest request;
  private final boolean inTransaction;

  private BatchTraits(StatementBatch batch, StatementRequest request, boolean inTransaction) {
    this.batch = batch;
    this.request = request;
    this.inTransaction = inTransaction;
  }

  static BatchTraits of(StatementBatch batch, StatementRequest request, boolean inTransaction) {
    return new BatchTraits(batch, request, inTransaction);
  }

  /** Returns whether the answer waits for the acknowledgement of a write. */
  boolean awaitsAcknowledgement() {
    return request.kind() == StatementKind.WRITE;
  }

  /** Returns whether the batch may commit; the primary's position is then queried after it. */
  boolean mayCommit() {
    boolean staysOpen = inTransaction || batch.contains(StatementClass.BEGIN);
    boolean ends = batch.contains(StatementClass.END) || batch.contains(StatementClass.MULTIPLE);
    return awaitsAcknowledgement() && (!staysOpen || ends);
  }

  /** Returns whether an idempotency key is set for a batch that cannot use one. */
  boolean hasUnsupportedIdempotencyKey() {
    boolean single =
        batch.statements().size() == 1
            && !batch.contains(StatementClass.MULTIPLE)
            && !batch.contains(StatementClass.BEGIN);
    return isIdempotent() && (inTransaction || !single);
  }

  /**
   * Returns whether the batch is a write with an idempotency key, which can be sent again safely.
   */
  boolean isIdempotent() {
    return awaitsAcknowledgement() && request.idempotencyKey().isPresent();
  }

  /** Returns how far the batch had progressed when its backend connection was lost. */
  StatementPhase phaseAtLoss(boolean answerStarted) {
    if (inTransaction) {
      return mayCommit() ? StatementPhase.COMMIT_SENT : StatementPhase.SENT_IN_TRANSACTION;
    }
    return answerStarted ? StatementPhase.ANSWER_STARTED : StatementPhase.SENT_OUTSIDE_TRANSACTION;
  }

  /** Returns what is sent to the backend server; the plan has its own references to the frames. */
  ExchangePlan plan(Optional<SessionSettings> settings) {
    return new ExchangePlan(
        settings, guards(), batch.retainedFrames(), isIdempotent(), mayCommit());
  }

  /**
   * Returns the statements that make a repeated request fail before it runs: they insert its
   * identifier, which is a primary key, in the same transaction.
   */
  private List<String> guards() {
    if (!isIdempotent()) {
      return List.of();
    }
    String id = request.workspace() + "/" + request.idempotencyKey().get();
    return List.of("BEGIN", "INSERT INTO persimmonwalk_request (id) VALUES ('" + id + "')");
  }
}
