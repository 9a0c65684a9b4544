package org.persimmonwalk.internal.traffic.caller;

import io.netty.channel.Channel;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.internal.traffic.backend.BackendConnection;
import org.persimmonwalk.internal.traffic.backend.ConnectionWaiter;
import org.persimmonwalk.internal.traffic.backend.ServerPool;
import org.persimmonwalk.internal.traffic.backend.SessionSettings;
import org.persimmonwalk.internal.traffic.caller.CallerState.Transaction;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.observation.SampleRequested;
import org.persimmonwalk.request.StatementRequest;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.result.StatementState;
import org.persimmonwalk.retry.FailedAttempt;
import org.persimmonwalk.routing.RoutingDecision;
import org.persimmonwalk.routing.StatementKind;
import org.persimmonwalk.wire.TransactionStatus;

/**
 * Runs one batch: admission, routing, the wait for a connection, the exchange and the
 * acknowledgement. Used on the event loop of the caller only.
 */
final class BatchExecution {
  private static final Duration ADMISSION_INTERVAL = Duration.ofMillis(10);
  private static final String READ_ONLY_VIOLATION = "25006";

  private final TrafficContext context;
  private final Channel caller;
  private final CallerState state;
  private final CallerWriter writer;
  private final StatementBatch batch;
  private final Runnable whenFinished;
  private final MonotonicTime startedAt;
  private StatementRequest request;
  private Optional<BackendConnection> running = Optional.empty();
  private Optional<ScheduledFuture<?>> answerTimer = Optional.empty();
  private int attempts;
  private boolean abandoned;
  private boolean finished;

  private BatchExecution(
      TrafficContext context,
      Channel caller,
      CallerState state,
      StatementBatch batch,
      Runnable whenFinished) {
    this.context = context;
    this.caller = caller;
    this.state = state;
    this.writer = CallerWriter.of(caller);
    this.batch = batch;
    this.whenFinished = whenFinished;
    this.startedAt = context.clock().now();
    StatementKind kind = batch.onlyReads() ? StatementKind.READ : StatementKind.WRITE;
    StatementKind effective = state.transaction().map(Transaction::kind).orElse(kind);
    this.request =
        state.request(effective, startedAt, startedAt.plus(context.settings().statementDeadline()));
  }

  /**
   * Returns an execution that has not started.
   *
   * @param whenFinished runs when the caller has its answer and the next batch may start
   */
  static BatchExecution of(
      TrafficContext context,
      Channel caller,
      CallerState state,
      StatementBatch batch,
      Runnable whenFinished) {
    return new BatchExecution(context, caller, state, batch, whenFinished);
  }

  /** Admits the batch and starts it. */
  void start() {
    if (finished) {
      return;
    }
    Optional<ResultCode> refusal =
        context.planner().admit(context.control().snapshot(), request, now());
    if (refusal.isEmpty()) {
      context.retries().recordFirstAttempt(now());
      state.transaction().ifPresentOrElse(this::runInTransaction, this::route);
    } else if (refusal.get() == ResultCode.RATE_EXCEEDED && canWaitForShare()) {
      schedule(this::start, ADMISSION_INTERVAL);
    } else {
      refuse(refusal.get());
    }
  }

  /** The caller is gone; the backend connection is not used again unless it is idle. */
  void abandon() {
    abandoned = true;
    running.ifPresent(BackendConnection::close);
    if (running.isEmpty()) {
      finish();
    }
  }

  /** Asks the backend server to cancel the statement. */
  void cancel() {
    running.ifPresent(context.backends().connector()::cancel);
  }

  /** Resumes or stops reading the answer, as the caller takes it. */
  void setReading(boolean reading) {
    running.ifPresent(connection -> connection.setReading(reading));
  }

  /**
   * A statement inside a transaction waits for its share, as a refusal would end the transaction.
   */
  private boolean canWaitForShare() {
    return state.transaction().isPresent() && now().isBefore(request.deadline());
  }

  private void route() {
    if (finished) {
      return;
    }
    Snapshot snapshot = context.control().snapshot();
    Optional<ResultCode> refusal = context.planner().verify(snapshot, request, now());
    if (refusal.isPresent()) {
      refuse(refusal.get());
      return;
    }
    RoutingDecision decision = context.planner().route(snapshot, request, now());
    if (decision instanceof RoutingDecision.Execute execute) {
      acquire(execute);
    } else if (decision instanceof RoutingDecision.Refuse refuse) {
      refuse(refuse.code());
    } else {
      context.control().post(new SampleRequested(request.group()));
      context.waiters().onNextSnapshot(() -> caller.eventLoop().execute(this::route));
    }
  }

  private void acquire(RoutingDecision.Execute decision) {
    state.parameters().resolveFloor(decision.floor());
    ServerPool pool = context.backends().pools().pool(request.group(), decision.server());
    PoolWaiter waiter = new PoolWaiter(pool, decision);
    waiter.timer = schedule(() -> giveUp(waiter), request.deadline().since(now()));
    pool.acquire(waiter);
  }

  private void giveUp(PoolWaiter waiter) {
    if (waiter.pool.abandon(waiter)) {
      refuse(ResultCode.DEADLINE_UNREACHABLE);
    }
  }

  private void runInTransaction(Transaction transaction) {
    execute(transaction.connection(), transaction.pool());
  }

  private void execute(BackendConnection connection, ServerPool pool) {
    attempts++;
    running = Optional.of(connection);
    AnswerRelay relay = AnswerRelay.of(caller, batch, holdsCompletion());
    BatchExchange exchange = BatchExchange.of(this, connection, pool, relay, caller.eventLoop());
    Optional<SessionSettings> settings =
        state.transaction().isPresent()
            ? Optional.empty()
            : Optional.of(state.connectionSettings(request.kind()));
    exchange.start(batch, settings, asksPosition());
    answerTimer = Optional.of(schedule(connection::close, context.backends().answerTimeout()));
  }

  private boolean holdsCompletion() {
    return request.kind() == StatementKind.WRITE;
  }

  /** Returns whether the answer probably ends outside a transaction. */
  private boolean asksPosition() {
    boolean staysOpen = state.transaction().isPresent() || batch.contains(StatementClass.BEGIN);
    boolean ends = batch.contains(StatementClass.END) || batch.contains(StatementClass.WRITE);
    return holdsCompletion() && (!staysOpen || ends);
  }

  /** Called by the exchange when the answer is complete. */
  void answered(BatchExchange exchange, TransactionStatus status) {
    endAttempt();
    if (mustRunAsWrite(exchange.relay())) {
      exchange.relay().discard();
      exchange.releaseConnection();
      request = request.asWrite();
      route();
      return;
    }
    rememberSettings(exchange.relay());
    if (status == TransactionStatus.IDLE) {
      exchange.releaseConnection();
      state.setStatus(status, Optional.empty());
      acknowledge(exchange);
    } else {
      state.setStatus(status, Optional.of(exchange.toTransaction(request.kind())));
      complete(exchange.relay(), StatementState.RAN);
    }
  }

  private void endAttempt() {
    running = Optional.empty();
    answerTimer.ifPresent(timer -> timer.cancel(false));
  }

  private boolean mustRunAsWrite(AnswerRelay relay) {
    return request.kind() == StatementKind.READ
        && state.transaction().isEmpty()
        && !relay.hasStarted()
        && relay.error().filter(e -> e.sqlState().equals(READ_ONLY_VIOLATION)).isPresent();
  }

  private void acknowledge(BatchExchange exchange) {
    AnswerRelay relay = exchange.relay();
    if (!holdsCompletion() || !relay.hasCompleted()) {
      complete(relay, StatementState.RAN);
    } else if (exchange.position().isEmpty()) {
      unknown(relay);
    } else {
      context
          .acknowledger()
          .await(
              request.group(),
              exchange.position().get(),
              now().plus(context.settings().confirmationTimeout()),
              confirmed -> caller.eventLoop().execute(() -> acknowledged(exchange, confirmed)));
    }
  }

  private void acknowledged(BatchExchange exchange, boolean confirmed) {
    if (confirmed) {
      state.parameters().raiseFloor(exchange.position().get());
      writer.position(exchange.position().get());
      complete(exchange.relay(), StatementState.RAN);
    } else {
      unknown(exchange.relay());
    }
  }

  private void unknown(AnswerRelay relay) {
    relay.discard();
    end(ResultCode.OUTCOME_UNKNOWN, StatementState.UNKNOWN);
  }

  /** Called by the exchange when the backend connection was lost before the answer was complete. */
  void lost(BatchExchange exchange) {
    endAttempt();
    exchange.relay().discard();
    StatementState outcome = outcomeOfLoss();
    boolean retry =
        !abandoned
            && state.transaction().isEmpty()
            && !exchange.relay().hasStarted()
            && context
                .retries()
                .mayRetry(new FailedAttempt(request.kind(), outcome, false, attempts), now());
    if (retry) {
      route();
      return;
    }
    boolean inTransaction = state.transaction().isPresent();
    boolean ended = outcome == StatementState.UNKNOWN;
    state.setStatus(
        inTransaction && !ended ? TransactionStatus.FAILED : TransactionStatus.IDLE,
        Optional.empty());
    end(
        outcome == StatementState.UNKNOWN
            ? ResultCode.OUTCOME_UNKNOWN
            : inTransaction ? ResultCode.NOT_RUN : ResultCode.ANSWER_INCOMPLETE,
        outcome);
  }

  private StatementState outcomeOfLoss() {
    boolean mayCommit = state.transaction().isEmpty() || asksPosition();
    boolean writes = request.kind() == StatementKind.WRITE;
    return writes && mayCommit ? StatementState.UNKNOWN : StatementState.NOT_RUN;
  }

  private void complete(AnswerRelay relay, StatementState outcome) {
    relay.release();
    context.listener().finished(request, outcome, now().since(startedAt));
    writer.ready(state.status());
    finish();
  }

  private void end(ResultCode code, StatementState outcome) {
    context.listener().finished(request, outcome, now().since(startedAt));
    writer.error(code, "");
    writer.ready(state.status());
    finish();
  }

  private void refuse(ResultCode code) {
    if (finished) {
      return;
    }
    context.listener().refused(request, code);
    state.transaction().ifPresent(this::rollBack);
    writer.error(code, "");
    writer.ready(state.status());
    finish();
  }

  private void rollBack(Transaction transaction) {
    transaction.pool().release(transaction.connection(), false);
    state.setStatus(TransactionStatus.FAILED, Optional.empty());
  }

  private void rememberSettings(AnswerRelay relay) {
    if (batch.isSingle(StatementClass.SET) && relay.error().isEmpty()) {
      state.rememberSetting(batch.statements().get(0));
    }
  }

  private void finish() {
    if (!finished) {
      finished = true;
      batch.release();
      whenFinished.run();
    }
  }

  private MonotonicTime now() {
    return context.clock().now();
  }

  private ScheduledFuture<?> schedule(Runnable action, Duration delay) {
    return caller.eventLoop().schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  /** Waits for a connection and moves its grant to the event loop of the caller. */
  private final class PoolWaiter implements ConnectionWaiter {
    private final ServerPool pool;
    private final RoutingDecision.Execute decision;
    private ScheduledFuture<?> timer;

    PoolWaiter(ServerPool pool, RoutingDecision.Execute decision) {
      this.pool = pool;
      this.decision = decision;
    }

    @Override
    public void granted(BackendConnection connection) {
      caller.eventLoop().execute(() -> run(connection));
    }

    @Override
    public void refused(ResultCode code) {
      caller
          .eventLoop()
          .execute(
              () -> {
                timer.cancel(false);
                refuse(code);
              });
    }

    private void run(BackendConnection connection) {
      timer.cancel(false);
      if (finished) {
        pool.release(connection, true);
        return;
      }
      context.listener().routed(request, decision);
      execute(connection, pool);
    }
  }
}
