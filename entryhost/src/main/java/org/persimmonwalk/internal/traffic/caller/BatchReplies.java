package org.persimmonwalk.internal.traffic.caller;

import java.util.Optional;
import org.persimmonwalk.internal.telemetry.StatementTrace;
import org.persimmonwalk.internal.traffic.caller.CallerState.Transaction;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.request.StatementRequest;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.result.StatementState;
import org.persimmonwalk.wire.TransactionStatus;

/** Completes the answer to a batch and reports the outcome to the trace and the listener. */
final class BatchReplies {
  private final TrafficContext context;
  private final CallerState state;
  private final CallerWriter writer;
  private final StatementTrace trace;
  private final MonotonicTime startedAt;

  private BatchReplies(
      TrafficContext context,
      CallerState state,
      CallerWriter writer,
      StatementTrace trace,
      MonotonicTime startedAt) {
    this.context = context;
    this.state = state;
    this.writer = writer;
    this.trace = trace;
    this.startedAt = startedAt;
  }

  static BatchReplies of(
      TrafficContext context,
      CallerState state,
      CallerWriter writer,
      StatementTrace trace,
      MonotonicTime startedAt) {
    return new BatchReplies(context, state, writer, trace, startedAt);
  }

  /** Sends the frames that the relay has buffered and ends the answer. */
  void complete(StatementRequest request, AnswerRelay relay) {
    relay.writeBuffered();
    trace.finished(StatementState.RAN);
    context
        .listener()
        .finished(request, StatementState.RAN, context.clock().now().since(startedAt));
    writer.ready(state.status());
  }

  /** Answers a batch that was sent to a backend server with an error of this host. */
  void fail(StatementRequest request, ResultCode code, StatementState outcome, String detail) {
    trace.finished(outcome);
    context.listener().finished(request, outcome, context.clock().now().since(startedAt));
    writer.error(code, detail);
    writer.ready(state.status());
  }

  /** Refuses a batch that was not sent; an open transaction is rolled back. */
  void refuse(StatementRequest request, ResultCode code) {
    trace.refused(code);
    context.listener().refused(request, code);
    state.transaction().ifPresent(this::rollBack);
    writer.error(code, "");
    writer.ready(state.status());
  }

  private void rollBack(Transaction transaction) {
    transaction.pool().release(transaction.connection(), false);
    state.setStatus(TransactionStatus.FAILED, Optional.empty());
  }
}
