package org.persimmonwalk.internal.traffic.caller;

import java.util.List;
import java.util.Optional;
import org.persimmonwalk.internal.traffic.backend.ExchangePlan;
import org.persimmonwalk.internal.traffic.backend.SessionSettings;
import org.persimmonwalk.request.StatementRequest;
import org.persimmonwalk.retry.ConnectionPhase;
import org.persimmonwalk.routing.StatementKind;

/** What follows from the statements of a batch and from the open transaction of its caller. */
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
  boolean holdsCompletion() {
    return request.kind() == StatementKind.WRITE;
  }

  /** Returns whether the batch may commit; the position after it is then wanted. */
  boolean mayCommit() {
    boolean staysOpen = inTransaction || batch.contains(StatementClass.BEGIN);
    boolean ends = batch.contains(StatementClass.END) || batch.contains(StatementClass.MULTIPLE);
    return holdsCompletion() && (!staysOpen || ends);
  }

  /** Returns whether the batch has an idempotency key that this host cannot honour. */
  boolean hasUnusableKey() {
    boolean single =
        batch.statements().size() == 1
            && !batch.contains(StatementClass.MULTIPLE)
            && !batch.contains(StatementClass.BEGIN);
    return isIdempotent() && (inTransaction || !single);
  }

  /** Returns whether the caller may repeat the statement. */
  boolean isIdempotent() {
    return holdsCompletion() && request.idempotencyKey().isPresent();
  }

  /** Returns how far the batch had come when its connection was lost. */
  ConnectionPhase phaseOfLoss(boolean answerStarted) {
    if (inTransaction) {
      return mayCommit() ? ConnectionPhase.COMMIT_SENT : ConnectionPhase.SENT_IN_TRANSACTION;
    }
    return answerStarted
        ? ConnectionPhase.ANSWER_STARTED
        : ConnectionPhase.SENT_OUTSIDE_TRANSACTION;
  }

  /** Returns what is sent to the backend server; the plan has its own references to the frames. */
  ExchangePlan plan(Optional<SessionSettings> settings) {
    return new ExchangePlan(
        settings, guards(), batch.retainedFrames(), isIdempotent(), mayCommit());
  }

  /**
   * Returns the statements that make a repeated statement fail before it runs: the identifier of
   * the request is a primary key and is written in the same transaction.
   */
  private List<String> guards() {
    if (!isIdempotent()) {
      return List.of();
    }
    String id = request.workspace() + "/" + request.idempotencyKey().get();
    return List.of("BEGIN", "INSERT INTO persimmonwalk_request (id) VALUES ('" + id + "')");
  }
}
