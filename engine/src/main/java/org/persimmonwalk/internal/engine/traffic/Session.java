package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.CallerConnection;
import org.persimmonwalk.engine.DatabaseName;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.SessionState;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.StatementTemplate;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.id.WorkspaceId;

/**
 * A caller's session. It holds the session variables, the prepared statements, the position that
 * reads must include and the open transaction, and runs the caller's statements one at a time in
 * the order received. The front end calls it on the traffic thread.
 */
public final class Session {
  /** Statements that may be queued; a caller that sends more without reading answers is cut off. */
  private static final int MAXIMUM_QUEUED = 256;

  private final TrafficContext context;
  private final ServerPools pools;
  private final SessionOperations operations;
  private final SessionLifetime lifetime;
  private final CallerConnection caller;
  private final DatabaseName database;
  private final CallerIdentity identity;
  private final SessionContents contents;
  private final Deque<QueuedStatement> queue = new ArrayDeque<>();
  private boolean busy;
  private boolean dispatching;
  private boolean closed;
  private boolean refusesOperations;

  /**
   * The position of the session's newest commit in each group that it has written to. A route may
   * move to another group and return.
   */
  private final CommittedPositions committedPositions = new CommittedPositions();

  private Optional<Transaction> transaction = Optional.empty();

  Session(
      TrafficContext context,
      ServerPools pools,
      SessionOperations operations,
      SessionLifetime lifetime,
      SessionStorage storage,
      CallerConnection caller,
      DatabaseName database,
      CallerIdentity identity) {
    this.context = context;
    this.pools = pools;
    this.operations = operations;
    this.lifetime = lifetime;
    this.contents = new SessionContents(storage, caller);
    this.caller = caller;
    this.database = database;
    this.identity = identity;
  }

  /** Queues a statement of the caller and runs it after those received before it. */
  public void receive(RequestId id, Statement statement) {
    if (closed) {
      return;
    }
    if (queue.size() >= MAXIMUM_QUEUED) {
      String reason = "more than " + MAXIMUM_QUEUED + " statements queued";
      context.log().write("session-cut-off", "reason", reason);
      caller.close();
      callerDisconnected();
      return;
    }
    queue.addLast(new QueuedStatement(id, statement, Arrival.now(context)));
    dispatchNext();
  }

  /** Runs the next statement if none runs, after the caller has read its answers. */
  public void resume() {
    dispatchNext();
  }

  /**
   * Ends the session and rolls back its transaction; called when the caller's connection closes.
   */
  public void callerDisconnected() {
    closed = true;
    contents.sessionEnded();
    queue.clear();
    transaction.ifPresent(Transaction::abandon);
    transaction = Optional.empty();
  }

  boolean isClosed() {
    return closed;
  }

  boolean needsKey() {
    return identity.key().isPresent();
  }

  /** Returns whether the key of the caller still admits what has waited. */
  boolean isStillAdmitted() {
    return !needsKey() || identity.isVerified(context);
  }

  /**
   * Between two statements, ends the session or aborts its transaction if the host doesn't let them
   * go on.
   */
  void endIfDue() {
    if (closed || busy) {
      return;
    }
    if (transaction.isEmpty()) {
      lifetime.endReason(identity).ifPresent(this::end);
    } else {
      abortTransactionIfDue();
    }
  }

  private void abortTransactionIfDue() {
    if (!lifetime.allowsTransactions()) {
      transaction.ifPresent(Transaction::abort);
    }
    transaction.ifPresent(Transaction::abortIfEvacuated);
  }

  /** Refuses the statements that are still queued and closes the caller's connection. */
  private void end(String reason) {
    SessionAdmission.Refusal refusal =
        SessionAdmission.overloaded(reason + "; connect to another host; not run");
    while (!queue.isEmpty()) {
      operations.logRefusal(this, queue.pollFirst().id(), refusal);
      caller.answer(Answer.failed(refusal.code(), refusal.detail(), SessionState.IDLE));
    }
    closed = true;
    contents.sessionEnded();
    caller.close();
  }

  /** Aborts an open transaction whose caller has been idle for longer than the limit. */
  void expireTransaction(Duration limit) {
    if (!busy && transaction.isPresent() && transaction.get().isIdleLongerThan(limit)) {
      transaction.get().abort();
    }
  }

  /** Runs statements in a loop: a call for each one answered at once overflowed the stack. */
  private void dispatchNext() {
    if (dispatching) {
      return;
    }
    dispatching = true;
    try {
      while (!busy && !closed && !queue.isEmpty() && caller.isWritable()) {
        dispatchOrEnd();
      }
    } finally {
      dispatching = false;
    }
  }

  private void dispatchOrEnd() {
    if (refusesOperations && transaction.isEmpty()) {
      Optional<String> reason = lifetime.endReason(identity);
      if (reason.isPresent()) {
        end(reason.get());
        return;
      }
    }
    QueuedStatement queued = queue.pollFirst();
    busy = true;
    dispatch(queued);
  }

  /** Answers the running statement and starts the next one. */
  void answer(Answer answer) {
    busy = false;
    if (closed) {
      return;
    }
    caller.answer(answer);
    // The connection stays open until the next tick: a statement that is on its way then gets a
    // refusal, while closing the connection would leave its outcome unknown to the caller.
    refusesOperations = transaction.isEmpty() && lifetime.endReason(identity).isPresent();
    abortTransactionIfDue();
    dispatchNext();
  }

  private SessionState state() {
    return transaction.map(Transaction::state).orElse(SessionState.IDLE);
  }

  void fail(FailureCode code, String detail) {
    answer(Answer.failed(code, detail, state()));
  }

  private void dispatch(QueuedStatement queued) {
    RequestId id = queued.id();
    Statement statement = queued.statement();
    if (statement instanceof Statement.Invalid invalid) {
      rejectInput(invalid.detail());
      return;
    }
    boolean failed = state() == SessionState.FAILED_TRANSACTION;
    if (failed
        && !(statement instanceof Statement.Rollback || statement instanceof Statement.Commit)) {
      transaction.get().refuse();
      return;
    }
    if (statement instanceof Statement.SetVariable set) {
      answerChange(id, contents.setVariable(set.name(), set.value()));
    } else if (statement instanceof Statement.Prepare prepare) {
      answerChange(id, contents.prepare(prepare.name(), prepare.template()));
    } else if (statement instanceof Statement.Deallocate deallocate) {
      deallocate(deallocate);
    } else if (statement instanceof Statement.Begin begin) {
      begin(queued, begin);
    } else if (statement instanceof Statement.Commit commit) {
      commit(queued, commit);
    } else if (statement instanceof Statement.Rollback) {
      rollback();
    } else if (statement instanceof Statement.Data data) {
      run(queued, data.write(), SessionStatement.of(new BackendStatement.Text(data.text())));
    } else if (statement instanceof Statement.Execute execute) {
      execute(queued, execute);
    } else {
      fail(FailureCode.MALFORMED, "unknown or malformed statement");
    }
  }

  /** Answers a change of what the session holds, which is refused beyond the limits. */
  private void answerChange(RequestId id, Optional<String> refusal) {
    if (refusal.isEmpty()) {
      answer(Answer.done(state()));
      return;
    }
    context.meter().count("session.limit-reached");
    String reason = refusal.get();
    context
        .log()
        .write("session-limit-reached", "request", id, "workspace", workspace(), "reason", reason);
    fail(FailureCode.OVERLOADED, refusal.get() + "; not kept");
  }

  private void rejectInput(String detail) {
    context.log().write("session-cut-off", "reason", detail);
    caller.answer(Answer.failed(FailureCode.MALFORMED, detail, SessionState.IDLE));
    callerDisconnected();
    caller.close();
  }

  private void deallocate(Statement.Deallocate deallocate) {
    if (contents.deallocate(deallocate.name())) {
      answer(Answer.done(state()));
      return;
    }
    fail(FailureCode.UNKNOWN_NAME, "no statement is prepared as " + deallocate.name());
  }

  private void execute(QueuedStatement queued, Statement.Execute execute) {
    Optional<StatementTemplate> prepared = contents.statement(execute.name());
    if (prepared.isEmpty()) {
      fail(FailureCode.UNKNOWN_NAME, "no statement is prepared as " + execute.name());
      return;
    }
    StatementTemplate template = prepared.get();
    run(queued, template.write(), SessionStatement.execute(template, execute.arguments()));
  }

  private void begin(QueuedStatement queued, Statement.Begin begin) {
    if (transaction.isPresent()) {
      fail(FailureCode.MALFORMED, "a transaction is already open");
      return;
    }
    operations.begin(this, queued, begin.readOnly(), route -> open(route, begin.readOnly()));
  }

  private void open(Route route, boolean readOnly) {
    transaction = Optional.of(new Transaction(context, pools, this, route, readOnly));
    answer(Answer.done(SessionState.IN_TRANSACTION));
  }

  private void commit(QueuedStatement queued, Statement.Commit commit) {
    if (transaction.isEmpty()) {
      fail(FailureCode.MALFORMED, "no transaction is open");
      return;
    }
    transaction.get().commit(queued.id(), queued.arrival(), commit.text());
  }

  private void rollback() {
    if (transaction.isEmpty()) {
      fail(FailureCode.MALFORMED, "no transaction is open");
      return;
    }
    transaction.get().abandon();
    transaction = Optional.empty();
    answer(Answer.done(SessionState.IDLE));
  }

  private void run(QueuedStatement queued, boolean write, SessionStatement statement) {
    if (transaction.isPresent()) {
      transaction.get().run(queued.id(), queued.arrival(), write, statement);
      return;
    }
    operations.run(
        this, queued, write, statement, (route, outcome) -> finished(route, write, outcome));
  }

  private void finished(Route route, boolean write, ExecutionOutcome outcome) {
    outcome.connection().ifPresent(PooledConnection::release);
    Answer answer = outcome.answer();
    if (answer.succeeded() && write) {
      answer = acknowledge(route, answer, outcome.connection().orElseThrow());
    } else if (answer.succeeded() && outcome.onPrimary()) {
      answer.position().ifPresent(position -> committedPositions.refresh(route, position));
    }
    answer(answer.withState(SessionState.IDLE));
  }

  /**
   * Acknowledges a write or commit only if its server is still the primary; otherwise reports an
   * unknown outcome. A replaced primary may still commit, but such commits are discarded.
   */
  Answer acknowledge(Route route, Answer answer, PooledConnection connection) {
    if (!context.isPrimary(connection.server())) {
      context.log().write("acknowledgement-withheld", "server", connection.server().id());
      return Answer.failed(
          FailureCode.OUTCOME_UNKNOWN,
          "the primary was replaced before the commit was acknowledged",
          SessionState.IDLE);
    }
    answer.position().ifPresent(position -> committedPositions.add(route, position));
    return answer;
  }

  /** Returns the position of the session's newest commit if reads on the route must include it. */
  TermPosition minimumPosition(Route route) {
    return committedPositions.minimum(route);
  }

  void transactionEnded() {
    transaction = Optional.empty();
  }

  Map<String, String> variables() {
    return contents.variables();
  }

  WorkspaceId workspace() {
    return identity.workspace();
  }

  CallerIdentity identity() {
    return identity;
  }

  DatabaseName database() {
    return database;
  }
}
