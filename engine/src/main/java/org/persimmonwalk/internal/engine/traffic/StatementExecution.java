package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.SessionState;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Executes one request (a single statement, or the start of a transaction): chooses a server, sets
 * up a connection for the session and sends the request. Reads, and requests that certainly did not
 * run, are retried while time is left: reads on another server, or once more on the primary if no
 * other server can run them.
 */
final class StatementExecution {
  /** More attempts would only add load when every server is overloaded. */
  private static final int MAXIMUM_ATTEMPTS = 4;

  /** Pause before a request is retried on the primary: a replacement may be ready by then. */
  private static final Duration RETRY_PAUSE = Duration.ofMillis(20);

  /** Tells the caller of a statement whose name on the server connection makes it too long. */
  static final String TOO_LONG =
      "the statement is too long to be sent under the server's name for it; not run";

  private final TrafficContext context;
  private final ServerPools pools;
  private final ExecutionRequest request;
  private final Consumer<ExecutionOutcome> done;
  private final MonotonicTime startedAt;
  private final MonotonicTime usualWaitUntil;
  private final Set<BackendServerId> tried = new HashSet<>();
  private final TargetChoice choice;
  private final RetryPolicy retryPolicy;
  private final AnswerRecorder answers;
  private Failure lastFailure =
      Failure.of(FailureCode.OVERLOADED, "no server of the database can be used at present");
  private MonotonicTime waitUntil;
  private PooledConnection connection;
  private int attempts;
  private boolean finished;
  private boolean sent;
  private boolean everSent;
  private boolean onPrimary;
  private boolean onlyThere;
  private boolean tooLongWithPosition;
  private Runnable cancelTimeout = () -> {};
  private Runnable inFlightEnded = () -> {};

  private StatementExecution(
      TrafficContext context,
      ServerPools pools,
      ExecutionRequest request,
      Consumer<ExecutionOutcome> done) {
    this.context = context;
    this.pools = pools;
    this.request = request;
    this.done = done;
    this.choice = new TargetChoice(context, pools, request);
    this.retryPolicy = new RetryPolicy(pools, request);
    this.answers = new AnswerRecorder(pools, request);
    this.startedAt = context.now();
    this.usualWaitUntil = startedAt.plus(request.connectionWait());
    this.waitUntil = usualWaitUntil;
  }

  /** Starts the request; the callback receives the outcome exactly once. */
  static void start(
      TrafficContext context,
      ServerPools pools,
      ExecutionRequest request,
      Consumer<ExecutionOutcome> done) {
    pools.retryBudget().recordRequest();
    StatementExecution execution = new StatementExecution(context, pools, request, done);
    execution.cancelTimeout = pools.deadlines().schedule(request.deadline(), execution::timeOut);
    execution.attempt();
  }

  private void attempt() {
    if (finished) {
      return;
    }
    if (isTooLate()) {
      refuseAsTooLate();
      return;
    }
    if (attempts >= MAXIMUM_ATTEMPTS) {
      giveUp();
      return;
    }
    TargetChoice.Result chosen = choice.choose(tried, tooLongWithPosition);
    Optional<ExecutionTarget> target = chosen.target();
    if (target.isEmpty()) {
      if (attempts == 0 || chosen.isDecisive()) {
        lastFailure = chosen.reason().orElse(lastFailure);
      }
      if (chosen.isHeld()) {
        hold();
      } else {
        giveUp();
      }
      return;
    }
    attempts++;
    sent = false;
    endInFlight();
    inFlightEnded =
        pools.urgency().start(target.get().pool().server(), request.route(), request.workspace());
    ServerPool pool = target.get().pool();
    onPrimary = target.get().primary();
    onlyThere = target.get().onlyThere();
    MonotonicTime longest = pools.urgency().waitDeadline(request.route(), startedAt, waitUntil);
    MonotonicTime waitDeadline = longest.isBefore(context.now()) ? context.now() : longest;
    pool.acquire(
        request.workspace(),
        request.priority(),
        waitDeadline,
        new ConnectionRequest.Listener() {
          @Override
          public void granted(PooledConnection free) {
            use(free, target.get());
          }

          @Override
          public void refused(Failure failure) {
            retry(pool.server(), failure);
          }
        });
  }

  /** Waits in this host: the servers that may run the request are kept for more urgent work. */
  private void hold() {
    pools
        .urgency()
        .hold(
            request.route(),
            request.workspace(),
            request.needsPrimary(),
            request.deadline(),
            startedAt,
            this::resume,
            this::failWith);
  }

  private void resume() {
    waitUntil = context.now().plus(request.connectionWait());
    attempt();
  }

  private void failWith(Failure failure) {
    if (!finished) {
      fail(failure.code(), failure.detail());
    }
  }

  private void use(PooledConnection free, ExecutionTarget target) {
    if (finished) {
      free.release();
      return;
    }
    if (onPrimary && !context.isPrimary(free.server())) {
      free.release();
      retry(free.server(), Failure.of(FailureCode.OVERLOADED, "the primary is being replaced"));
      return;
    }
    if (!target.mayBeUsed(context)) {
      free.release();
      retry(free.server(), ServerPool.EVACUATED);
      return;
    }
    if (context.now().isAfter(usualWaitUntil) && !request.isStillAdmitted().getAsBoolean()) {
      free.release();
      fail(FailureCode.OVERLOADED, "the key can no longer be verified; not run");
      return;
    }
    connection = free;
    ConnectionSetup.run(
        free,
        request.variables(),
        request.statement().template(),
        ready -> connectionReady(ready, target));
  }

  private void connectionReady(boolean ready, ExecutionTarget target) {
    if (finished) {
      return;
    }
    if (!ready) {
      connection.discard();
      retry(
          connection.server(),
          Failure.of(
              FailureCode.OVERLOADED, "the session could not be set up on the server connection"));
      return;
    }
    PooledConnection used = connection;
    if (isTooLate()) {
      connection = null;
      used.release();
      refuseAsTooLate();
      return;
    }
    if (!target.mayBeUsed(context)) {
      used.release();
      retry(used.server(), ServerPool.EVACUATED);
      return;
    }
    BackendStatement statement =
        BackendStatement.of(request.id(), target.position(), request.statement().on(used));
    if (!used.canSend(statement)) {
      connection = null;
      used.release();
      sendShorter(target);
      return;
    }
    sent = true;
    everSent = true;
    used.send(
        statement,
        new PooledConnection.StatementListener() {
          @Override
          public void answered(Answer answer, MonotonicTime sentAt) {
            StatementExecution.this.answered(used, answer, sentAt);
          }

          @Override
          public void lost(String reason) {
            StatementExecution.this.lost(used, reason);
          }
        });
  }

  /** Sends a statement that its position makes too long to the primary, which needs none. */
  private void sendShorter(ExecutionTarget target) {
    context.meter().count("statement.too-long");
    if (target.position().isPresent()) {
      tooLongWithPosition = true;
      attempt();
    } else {
      fail(FailureCode.MALFORMED, TOO_LONG);
    }
  }

  private void answered(PooledConnection used, Answer answer, MonotonicTime sentAt) {
    MonotonicTime now = context.now();
    if (finished) {
      used.discard();
      return;
    }
    if (answer.succeeded()) {
      answers.recordSuccess(used, onPrimary, answer, sentAt, now);
      finish(new ExecutionOutcome(answer, Optional.of(used), onPrimary));
      return;
    }
    FailureCode code = answer.failure().orElseThrow().code();
    answers.recordFailure(used, code, sentAt, now);
    if (code == FailureCode.UNKNOWN_NAME) {
      used.discardAsReset(request.id());
    } else if (answer.state() == SessionState.IDLE) {
      used.release();
    } else {
      used.discard();
    }
    if (answers.isRepeatable(code)) {
      retry(used.server(), answer.failure().orElseThrow());
    } else {
      finish(
          new ExecutionOutcome(answer.withState(SessionState.IDLE), Optional.empty(), onPrimary));
    }
  }

  private void lost(PooledConnection used, String reason) {
    if (finished) {
      return;
    }
    used.pool().recordLoss(reason);
    if (request.writes()) {
      fail(FailureCode.OUTCOME_UNKNOWN, "the connection to the primary ended: " + reason);
    } else {
      retry(
          used.server(),
          Failure.of(FailureCode.ABORTED, "the connection to the server ended: " + reason));
    }
  }

  /**
   * Makes another attempt if time is left. The request did not run on the server, or only reads.
   */
  private void retry(ServerEntry server, Failure failure) {
    if (finished) {
      return;
    }
    boolean isWithinBudget = !sent || retryPolicy.permits(failure);
    boolean isRepeatedThere = sent && onlyThere && retryPolicy.repeatsOnSameServer(failure);
    lastFailure = failure;
    if (!isRepeatedThere) {
      tried.add(server.id());
    }
    connection = null;
    endInFlight();
    if (!isWithinBudget) {
      context.meter().count("statement.retry-budget-spent");
      giveUp();
      return;
    }
    context.meter().count("statement.retried");
    if (request.needsPrimary() || isRepeatedThere) {
      if (context.now().plus(RETRY_PAUSE).isBefore(waitUntil)) {
        context.scheduler().schedule(RETRY_PAUSE, this::attempt);
      } else {
        giveUp();
      }
      return;
    }
    attempt();
  }

  private boolean isTooLate() {
    return !pools.remainingTime(request.route(), request.deadline()).sufficesForStatement();
  }

  /** Refuses the request; one that a server has failed before keeps that failure. */
  private void refuseAsTooLate() {
    context.meter().count("operation.too-late");
    if (everSent) {
      giveUp();
    } else {
      failWith(RemainingTime.TOO_LATE);
    }
  }

  private void giveUp() {
    if (lastFailure == ServerPool.EVACUATED) {
      context.meter().count("evacuation.statement-refused");
    }
    boolean reportable =
        lastFailure.code().guaranteesNoEffect() || lastFailure.code() == FailureCode.FAILED;
    FailureCode code = reportable ? lastFailure.code() : FailureCode.OVERLOADED;
    fail(code, lastFailure.detail() + "; try again");
  }

  private void timeOut() {
    if (finished) {
      return;
    }
    PooledConnection abandoned = connection;
    connection = null;
    boolean running = sent && abandoned != null;
    if (running && !request.writes()) {
      abandoned.pool().recordLoss("a read got no answer in time");
    }
    failWith(TimedOutStatement.failure(request, running));
    if (abandoned != null) {
      abandoned.discard();
    }
  }

  private void fail(FailureCode code, String detail) {
    finish(
        new ExecutionOutcome(
            Answer.failed(code, detail, SessionState.IDLE), Optional.empty(), onPrimary));
  }

  private void finish(ExecutionOutcome outcome) {
    finished = true;
    cancelTimeout.run();
    context.meter().time("statement.latency", context.now().since(startedAt));
    if (!outcome.answer().succeeded()) {
      writeFailure(outcome.answer().failure().orElseThrow());
    }
    try {
      done.accept(outcome);
    } finally {
      // The connection is free now for what this lets through.
      endInFlight();
    }
  }

  private void endInFlight() {
    Runnable ended = inFlightEnded;
    inFlightEnded = () -> {};
    ended.run();
  }

  private void writeFailure(Failure failure) {
    context.meter().count("statement.failed." + failure.code());
    Duration age = request.deadline().age(context);
    new FailedStatement(request, failure, attempts, tried, age).write(context.log());
  }
}
