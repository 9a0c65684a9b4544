package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.SessionState;
import org.persimmonwalk.engine.StatementTemplate;
import org.persimmonwalk.model.MonotonicTime;

/**
 * An open transaction of a session. It takes a backend connection for its first statement and keeps
 * it until the end, so that callers that are idle after BEGIN hold no connection.
 */
final class Transaction {
  /** Pause before a statement that an overloaded server did not run is sent again. */
  private static final Duration RETRY_PAUSE = Duration.ofMillis(15);

  private static final String ROLLED_BACK = "; the transaction is rolled back";

  private final TrafficContext context;
  private final ServerPools pools;
  private final Session session;
  private final Route route;
  private final boolean readOnly;
  private PooledConnection connection;
  private SessionState state = SessionState.IN_TRANSACTION;
  private boolean wrote;
  private boolean ended;
  private boolean mustTellEvacuation;
  private MonotonicTime lastUsed;

  Transaction(
      TrafficContext context, ServerPools pools, Session session, Route route, boolean readOnly) {
    this.context = context;
    this.pools = pools;
    this.session = session;
    this.route = route;
    this.readOnly = readOnly;
    this.lastUsed = context.now();
  }

  SessionState state() {
    return state;
  }

  boolean isIdleLongerThan(Duration limit) {
    return context.now().since(lastUsed).compareTo(limit) > 0;
  }

  void run(RequestId id, Arrival arrival, boolean write, SessionStatement statement) {
    OperationDeadline deadline = deadline(arrival);
    withConnection(
        deadline,
        () ->
            setUp(
                deadline,
                statement.template(),
                () -> {
                  BackendStatement.Action action = statement.on(connection);
                  if (connection.canSend(BackendStatement.of(id, Optional.empty(), action))) {
                    wrote |= write;
                    send(id, action, deadline);
                  } else {
                    session.fail(FailureCode.MALFORMED, StatementExecution.TOO_LONG);
                  }
                }));
  }

  /**
   * Returns the deadline of a statement: from its arrival if it begins the transaction on a server,
   * else from now, as a caller may send several at once.
   */
  private OperationDeadline deadline(Arrival arrival) {
    Arrival counted = connection == null ? arrival : Arrival.now(context);
    return counted.deadline(route.statementTimeout());
  }

  /**
   * Prepares the connection for a statement and then runs the action. Fails the transaction if the
   * server refuses, or gives no answer by the deadline.
   */
  private void setUp(
      OperationDeadline deadline, Optional<StatementTemplate> template, Runnable action) {
    Runnable cancelTimeout =
        ConnectionSetup.isReady(connection, session.variables(), template)
            ? () -> {}
            : pools
                .deadlines()
                .schedule(
                    deadline, () -> failSetUp("within " + deadline.timeout().toMillis() + " ms"));
    ConnectionSetup.run(
        connection,
        Map.copyOf(session.variables()),
        template,
        ready -> {
          cancelTimeout.run();
          if (!ready) {
            failSetUp("on the server connection");
          } else if (!abortIfEvacuated()) {
            action.run();
          } else {
            refuse();
          }
        });
  }

  private void failSetUp(String detail) {
    if (!ended) {
      failAborted("the session could not be set up " + detail);
    }
  }

  private void withConnection(OperationDeadline deadline, Runnable action) {
    boolean needsPrimary = route.kind() == RouteKind.PRIMARY || !readOnly;
    if (needsPrimary && connection != null && !context.isPrimary(connection.server())) {
      failAborted("the primary is being replaced");
      return;
    }
    if (abortIfEvacuated()) {
      refuse();
      return;
    }
    // Checked for each statement: a withdrawn key must stop open transactions too.
    if (!session.isStillAdmitted()) {
      failAborted("the key was withdrawn or can no longer be verified");
      return;
    }
    if (connection == null) {
      ExecutionRequest begin = ExecutionRequest.ofBegin(session, route, readOnly, deadline);
      StatementExecution.start(context, pools, begin, outcome -> begun(outcome, action));
    } else if (connection.isOpen()) {
      action.run();
    } else {
      failAborted("the connection to the server has ended");
    }
  }

  private void begun(ExecutionOutcome outcome, Runnable action) {
    if (ended) {
      outcome.connection().ifPresent(PooledConnection::discard);
      return;
    }
    if (!outcome.answer().succeeded()) {
      fail(outcome.answer().failure().orElseThrow().code(), "the transaction could not be started");
      return;
    }
    connection = outcome.connection().orElseThrow();
    action.run();
  }

  private void failAborted(String detail) {
    fail(FailureCode.ABORTED, detail + ROLLED_BACK);
  }

  private void fail(FailureCode code, String detail) {
    abort();
    writeFailure(code, detail);
    session.fail(code.guaranteesNoEffect() ? code : FailureCode.ABORTED, detail);
  }

  private void writeFailure(FailureCode code, String detail) {
    context
        .log()
        .write("transaction-failed", "group", route.group(), "code", code, "detail", detail);
  }

  private void send(RequestId id, BackendStatement.Action action, OperationDeadline deadline) {
    PendingStatement pending = new PendingStatement(id, action, deadline);
    pending.cancel = pools.deadlines().schedule(deadline, () -> timeOut(pending));
    connection.send(BackendStatement.of(id, Optional.empty(), action), pending);
  }

  private void timeOut(PendingStatement pending) {
    if (!pending.done) {
      pending.done = true;
      failAborted(
          "a statement got no answer within " + route.statementTimeout().toMillis() + " ms");
    }
  }

  private void answered(PendingStatement pending, Answer answer) {
    lastUsed = context.now();
    if (answer.failedWith(FailureCode.OVERLOADED)
        && answer.state() == SessionState.IN_TRANSACTION
        && connection.mayContinue()
        && lastUsed.plus(RETRY_PAUSE).isBefore(pending.deadline.at(context))) {
      context.meter().count("statement.retried");
      context.scheduler().schedule(RETRY_PAUSE, () -> resend(pending));
      return;
    }
    if (answer.succeeded()) {
      pools.recordAnswer(connection, route, lastUsed.since(pending.startedAt));
      answer
          .position()
          .ifPresent(
              position -> pools.positionSeen(connection.server(), position, pending.startedAt));
      session.answer(answer.withState(SessionState.IN_TRANSACTION));
      return;
    }
    if (answer.failedWith(FailureCode.UNKNOWN_NAME)) {
      connection.discardAsReset(pending.id);
      failAborted("the server no longer knew a prepared statement");
      return;
    }
    state = SessionState.FAILED_TRANSACTION;
    session.answer(answer.withState(state));
  }

  private void resend(PendingStatement pending) {
    if (!ended && connection != null) {
      send(pending.id, pending.action, pending.deadline);
    }
  }

  /** Commits the transaction, or rolls back a failed one and answers that it was aborted. */
  void commit(RequestId id, Arrival arrival, String text) {
    if (state == SessionState.FAILED_TRANSACTION) {
      abandon();
      session.transactionEnded();
      session.fail(FailureCode.ABORTED, "the transaction had failed and was rolled back");
      return;
    }
    OperationDeadline deadline = deadline(arrival);
    withConnection(
        deadline,
        () ->
            setUp(
                deadline,
                Optional.empty(),
                () ->
                    connection.whenAdmitted(
                        deadline.at(context),
                        () -> sendCommit(id, text, deadline),
                        () -> failSetUp("for COMMIT on a cold server"))));
  }

  private void sendCommit(RequestId id, String text, OperationDeadline deadline) {
    if (connection == null) {
      failSetUp("before its connection ended");
      return;
    }
    PendingCommit pending = new PendingCommit(connection);
    pending.cancel = pools.deadlines().schedule(deadline, pending::timeOut);
    connection.send(
        BackendStatement.of(id, Optional.empty(), new BackendStatement.Text(text)), pending);
  }

  /**
   * Rolls back and releases the connection, without an answer to the caller. A connection with an
   * unanswered statement, or one that leaves the rollback unanswered, is discarded instead, which
   * rolls back too.
   */
  void abandon() {
    ended = true;
    if (connection == null) {
      return;
    }
    PooledConnection used = connection;
    connection = null;
    if (used.awaitsResponse()) {
      used.discard();
      return;
    }
    Rollback.run(context, used, route.statementTimeout());
  }

  /**
   * Aborts the transaction if nothing may be sent to its server any more because of an evacuation;
   * returns whether it did.
   */
  boolean abortIfEvacuated() {
    if (connection == null || !context.isPastEvacuationDeadline(connection.server())) {
      return false;
    }
    context.meter().count("evacuation.transaction-aborted");
    writeFailure(FailureCode.ABORTED, ServerPool.EVACUATED.detail());
    abort();
    mustTellEvacuation = true;
    return true;
  }

  /** Refuses a statement of the failed transaction; tells once if an evacuation aborted it. */
  void refuse() {
    if (mustTellEvacuation) {
      session.fail(FailureCode.ABORTED, ServerPool.EVACUATED.detail() + ROLLED_BACK);
    } else {
      session.fail(FailureCode.MALFORMED, "the transaction failed; end it with ROLLBACK");
    }
    mustTellEvacuation = false;
  }

  /**
   * Fails the transaction and discards its connection, which rolls it back. The caller still has to
   * end it with ROLLBACK or COMMIT.
   */
  void abort() {
    state = SessionState.FAILED_TRANSACTION;
    if (connection != null) {
      connection.discard();
      connection = null;
    }
  }

  private final class PendingStatement implements PooledConnection.StatementListener {
    private final RequestId id;
    private final BackendStatement.Action action;
    private final OperationDeadline deadline;
    private final MonotonicTime startedAt = context.now();
    private Runnable cancel = () -> {};
    private boolean done;

    private PendingStatement(
        RequestId id, BackendStatement.Action action, OperationDeadline deadline) {
      this.id = id;
      this.action = action;
      this.deadline = deadline;
    }

    @Override
    public void answered(Answer answer, MonotonicTime sentAt) {
      cancel.run();
      if (!done && !ended) {
        done = true;
        Transaction.this.answered(this, answer);
      }
    }

    @Override
    public void lost(String reason) {
      cancel.run();
      if (!done && !ended) {
        done = true;
        failAborted("the connection to the server ended: " + reason);
      }
    }
  }

  private final class PendingCommit implements PooledConnection.StatementListener {
    private final PooledConnection used;
    private Runnable cancel = () -> {};
    private boolean done;

    private PendingCommit(PooledConnection used) {
      this.used = used;
    }

    @Override
    public void answered(Answer answer, MonotonicTime sentAt) {
      cancel.run();
      if (done) {
        return;
      }
      Answer reported =
          answer.succeeded() && wrote ? session.acknowledge(route, answer, used) : answer;
      if (answer.state() == SessionState.IDLE) {
        used.release();
      } else {
        used.discard();
      }
      finish(reported);
    }

    @Override
    public void lost(String reason) {
      cancel.run();
      reportUnanswered("the connection ended before the answer to COMMIT: " + reason);
    }

    private void timeOut() {
      if (!done) {
        used.discard();
        reportUnanswered(
            "COMMIT got no answer within " + route.statementTimeout().toMillis() + " ms");
      }
    }

    private void reportUnanswered(String detail) {
      if (!done) {
        FailureCode code = wrote ? FailureCode.OUTCOME_UNKNOWN : FailureCode.ABORTED;
        context.log().write("commit-unanswered", "group", route.group(), "detail", detail);
        finish(Answer.failed(code, detail, SessionState.IDLE));
      }
    }

    private void finish(Answer answer) {
      done = true;
      ended = true;
      connection = null;
      session.transactionEnded();
      session.answer(answer.withState(SessionState.IDLE));
    }
  }
}
