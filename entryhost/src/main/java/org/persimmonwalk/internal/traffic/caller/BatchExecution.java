package org.persimmonwalk.internal.traffic.caller;

import io.netty.channel.Channel;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.persimmonwalk.acknowledgement.AcknowledgementOutcome;
import org.persimmonwalk.acknowledgement.PendingWrite;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.internal.telemetry.StatementTrace;
import org.persimmonwalk.internal.traffic.backend.BackendConnection;
import org.persimmonwalk.internal.traffic.backend.ExchangeResult;
import org.persimmonwalk.internal.traffic.backend.ServerPool;
import org.persimmonwalk.internal.traffic.backend.ServerQueue;
import org.persimmonwalk.internal.traffic.backend.SessionSettings;
import org.persimmonwalk.internal.traffic.caller.CallerState.Transaction;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.observation.SampleRequested;
import org.persimmonwalk.request.StatementRequest;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.result.StatementState;
import org.persimmonwalk.retry.FailedAttempt;
import org.persimmonwalk.retry.OutcomeClassifier;
import org.persimmonwalk.routing.RoutingDecision;
import org.persimmonwalk.routing.StatementKind;
import org.persimmonwalk.wire.TransactionStatus;

/**
 * Runs one batch: admission, routing, the wait for a connection, the exchange and the
 * acknowledgement. Used on the event loop of the caller only.
 */
final class BatchExecution implements ConnectionRequest.Listener {
  private static final Duration ADMISSION_RETRY_INTERVAL = Duration.ofMillis(100);
  private static final Duration MAXIMUM_SHARE_WAIT = Duration.ofSeconds(2);
  private static final String READ_ONLY_VIOLATION = "25006";
  private static final String UNIQUE_VIOLATION = "23505";

  private final TrafficContext context;
  private final Channel caller;
  private final CallerState state;
  private final StatementBatch batch;
  private final Runnable whenFinished;
  private final BatchReplies replies;
  private final StatementTrace trace;
  private StatementRequest request;
  private Optional<BackendConnection> connectionInUse = Optional.empty();
  private Optional<ConnectionRequest> pendingRequest = Optional.empty();
  private Optional<ScheduledFuture<?>> answerTimer = Optional.empty();
  private Optional<RoutingDecision.Execute> routed = Optional.empty();
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
    this.batch = batch;
    this.whenFinished = whenFinished;
    MonotonicTime arrivedAt = context.clock().now();
    StatementKind kind = batch.onlyReads() ? StatementKind.READ : StatementKind.WRITE;
    Duration timeout = state.parameters().deadline().orElse(context.settings().statementDeadline());
    this.request =
        state.request(
            state.transaction().map(Transaction::kind).orElse(kind),
            arrivedAt,
            arrivedAt.plus(timeout));
    this.trace = StatementTrace.start(context.instruments().tracer(), request);
    this.replies = BatchReplies.of(context, state, CallerWriter.of(caller), trace, arrivedAt);
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

  /** Checks that the batch may run now and starts it, or tries again later. */
  void start() {
    if (finished) {
      return;
    }
    if (traits().hasUnsupportedIdempotencyKey()) {
      refuse(ResultCode.UNSUPPORTED);
      return;
    }
    Optional<ResultCode> refusal =
        context.planner().admit(context.control().snapshot(), request, now());
    if (refusal.isEmpty()) {
      context.retries().recordFirstAttempt(now());
      state.transaction().ifPresentOrElse(this::runInTransaction, this::route);
    } else if (refusal.get() == ResultCode.RATE_EXCEEDED && canWaitForShare()) {
      schedule(this::start, ADMISSION_RETRY_INTERVAL);
    } else {
      refuse(refusal.get());
    }
  }

  /**
   * Ends the execution after the caller's connection has closed. A backend connection in use is
   * closed, because the rest of its answer will not be read.
   */
  void abandon() {
    abandoned = true;
    connectionInUse.ifPresent(BackendConnection::close);
    if (connectionInUse.isEmpty()) {
      pendingRequest.ifPresent(ConnectionRequest::cancel);
      finish();
    }
  }

  /** Asks the backend server to cancel the statement. */
  void cancel() {
    connectionInUse.ifPresent(context.backends().connector()::cancel);
  }

  /** Resumes or stops reading the answer, so that a slow caller does not fill the memory. */
  void setReading(boolean reading) {
    connectionInUse.ifPresent(connection -> connection.setReading(reading));
  }

  /**
   * Returns whether the statement may wait until peers transfer a share of the workspace's rate; a
   * host without demand has none. In a transaction it may wait until its deadline, because a
   * refusal would roll the transaction back.
   */
  private boolean canWaitForShare() {
    boolean withinLimit =
        state.transaction().isPresent()
            || now().since(request.arrivedAt()).compareTo(MAXIMUM_SHARE_WAIT) < 0;
    return withinLimit && now().isBefore(request.deadline());
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
      routeWithNextSnapshot();
    }
  }

  private void routeWithNextSnapshot() {
    context.waiters().onNextSnapshot(() -> caller.eventLoop().execute(this::route));
  }

  private void acquire(RoutingDecision.Execute decision) {
    state.parameters().resolveMinimumPosition(decision.minimumPosition());
    ServerQueue queue = context.backends().pools().queue(request.group(), decision.server());
    ConnectionRequest connectionRequest =
        ConnectionRequest.of(
            queue, request, state.parameters().urgency(), caller.eventLoop(), this);
    routed = Optional.of(decision);
    pendingRequest = Optional.of(connectionRequest);
    connectionRequest.submit(context.clock());
  }

  @Override
  public void granted(ConnectionRequest connectionRequest, BackendConnection connection) {
    pendingRequest = Optional.empty();
    if (finished) {
      connectionRequest.releaseUnused(connection);
      return;
    }
    routed.ifPresent(
        decision -> {
          context.listener().routed(request, decision);
          trace.startAttempt(decision);
        });
    execute(connection, connectionRequest.pool(), Optional.of(connectionRequest));
  }

  /**
   * Routes the statement again if no connection could be opened: the server may have failed, and
   * the next snapshot may lead to another one.
   */
  @Override
  public void refused(ResultCode code) {
    pendingRequest = Optional.empty();
    if (code == ResultCode.NO_CONNECTION && now().isBefore(request.deadline())) {
      routeWithNextSnapshot();
    } else {
      refuse(code);
    }
  }

  private void runInTransaction(Transaction transaction) {
    execute(transaction.connection(), transaction.pool(), Optional.empty());
  }

  private void execute(
      BackendConnection connection,
      ServerPool pool,
      Optional<ConnectionRequest> connectionRequest) {
    attempts++;
    connectionInUse = Optional.of(connection);
    AnswerRelay relay = AnswerRelay.of(caller, batch, traits().awaitsAcknowledgement());
    Optional<SessionSettings> settings =
        state.transaction().isPresent()
            ? Optional.empty()
            : Optional.of(state.connectionSettings(request.kind()));
    answerTimer = Optional.of(schedule(connection::close, context.backends().answerTimeout()));
    BatchExchange.of(this, connection, pool, relay, caller.eventLoop())
        .start(
            traits().plan(settings),
            succeeded -> connectionRequest.ifPresent(granted -> granted.complete(succeeded)));
  }

  private BatchTraits traits() {
    return BatchTraits.of(batch, request, state.transaction().isPresent());
  }

  /** Called by the exchange when the answer is complete. */
  void answered(BatchExchange exchange, ExchangeResult result) {
    endAttempt(true);
    BatchTraits traits = traits();
    if (mustRouteAgain(exchange.relay())) {
      exchange.relay().discard();
      exchange.releaseConnection();
      request = request.kind() == StatementKind.READ ? request.asWrite() : request;
      routeWithNextSnapshot();
      return;
    }
    recordSetting(exchange.relay());
    if (result.status() == TransactionStatus.IDLE) {
      exchange.releaseConnection();
      state.setStatus(result.status(), Optional.empty());
      acknowledge(exchange.relay(), result, traits);
    } else {
      state.setStatus(result.status(), Optional.of(exchange.toTransaction(request.kind())));
      complete(exchange.relay());
    }
  }

  private void endAttempt(boolean succeeded) {
    trace.endAttempt(succeeded);
    connectionInUse = Optional.empty();
    answerTimer.ifPresent(timer -> timer.cancel(false));
  }

  /**
   * Returns whether the server rejected a write, so that the batch must be routed again. Either a
   * statement classified as a read writes, or the server is no longer the primary. In both cases
   * nothing has run.
   */
  private boolean mustRouteAgain(AnswerRelay relay) {
    boolean refused =
        state.transaction().isEmpty()
            && !relay.hasStarted()
            && !relay.hasCompleted()
            && relay.error().filter(e -> e.sqlState().equals(READ_ONLY_VIOLATION)).isPresent();
    return refused && (request.kind() == StatementKind.READ || mayRetry(StatementState.NOT_RUN));
  }

  private boolean mayRetry(StatementState outcome) {
    FailedAttempt attempt =
        new FailedAttempt(request.kind(), outcome, traits().isIdempotent(), attempts);
    return !abandoned && context.retries().mayRetry(attempt, now());
  }

  private void acknowledge(AnswerRelay relay, ExchangeResult result, BatchTraits traits) {
    boolean wrote = traits.awaitsAcknowledgement() && (relay.hasCompleted() || isDuplicate(result));
    if (!wrote) {
      answer(relay, result);
    } else if (result.position().isEmpty()) {
      failAsUnknown(relay);
    } else {
      PendingWrite write =
          new PendingWrite(
              request.group(),
              result.position().get(),
              now().plus(context.settings().confirmationTimeout()),
              outcome -> caller.eventLoop().execute(() -> acknowledged(relay, result, outcome)));
      context.acknowledgement().register(write, now());
    }
  }

  private void acknowledged(
      AnswerRelay relay, ExchangeResult result, AcknowledgementOutcome outcome) {
    if (outcome == AcknowledgementOutcome.CONFIRMED) {
      GroupPosition position = result.position().get();
      state.parameters().raiseMinimumPosition(position);
      CallerWriter.of(caller).position(position);
      answer(relay, result);
    } else {
      failAsUnknown(relay);
    }
  }

  private void answer(AnswerRelay relay, ExchangeResult result) {
    if (isDuplicate(result)) {
      fail(ResultCode.ALREADY_RAN, StatementState.RAN, "");
    } else if (result.guardError().isPresent()) {
      fail(ResultCode.NOT_RUN, StatementState.NOT_RUN, result.guardError().get().message());
    } else {
      complete(relay);
    }
  }

  private static boolean isDuplicate(ExchangeResult result) {
    return result.guardError().filter(e -> e.sqlState().equals(UNIQUE_VIOLATION)).isPresent();
  }

  private void failAsUnknown(AnswerRelay relay) {
    relay.discard();
    fail(ResultCode.OUTCOME_UNKNOWN, StatementState.UNKNOWN, "");
  }

  /** Called by the exchange when the backend connection was lost before the answer was complete. */
  void lost(AnswerRelay relay) {
    endAttempt(false);
    relay.discard();
    boolean inTransaction = state.transaction().isPresent();
    StatementState outcome =
        OutcomeClassifier.classify(traits().phaseAtLoss(relay.hasStarted()), request.kind());
    if (!inTransaction && !relay.hasStarted() && mayRetry(outcome)) {
      routeWithNextSnapshot();
      return;
    }
    boolean mustEndTransaction = inTransaction && outcome == StatementState.NOT_RUN;
    state.setStatus(
        mustEndTransaction ? TransactionStatus.FAILED : TransactionStatus.IDLE, Optional.empty());
    ResultCode knownCode = inTransaction ? ResultCode.NOT_RUN : ResultCode.ANSWER_INCOMPLETE;
    fail(outcome == StatementState.UNKNOWN ? ResultCode.OUTCOME_UNKNOWN : knownCode, outcome, "");
  }

  private void complete(AnswerRelay relay) {
    replies.complete(request, relay);
    finish();
  }

  private void fail(ResultCode code, StatementState outcome, String detail) {
    replies.fail(request, code, outcome, detail);
    finish();
  }

  private void refuse(ResultCode code) {
    if (!finished) {
      replies.refuse(request, code);
      finish();
    }
  }

  private void recordSetting(AnswerRelay relay) {
    if (batch.isSingle(StatementClass.SET) && relay.error().isEmpty()) {
      state.addSetting(batch.statements().get(0));
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
}
