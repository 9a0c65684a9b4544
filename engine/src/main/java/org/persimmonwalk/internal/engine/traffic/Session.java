package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.CallerConnection;
import org.persimmonwalk.engine.DatabaseName;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.PreparedShape;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.SessionState;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.WorkspaceId;

/** A caller's session: its values, prepared names, newest commit and open transaction. */
public final class Session {
  /** A caller that sends more statements than this without reading answers is cut off. */
  private static final int MAXIMUM_QUEUED = 256;

  private final TrafficContext context;
  private final Servers servers;
  private final SessionAdmission admission;
  private final CallerConnection caller;
  private final DatabaseName database;
  private final Identity identity;
  private final Map<String, String> values = new HashMap<>();
  private final Map<String, PreparedShape> prepared = new HashMap<>();
  private final Deque<Queued> queue = new ArrayDeque<>();
  private boolean busy;
  private boolean closed;
  private DatabaseGroupId floorGroup;
  private TermPosition floor = TermPosition.ZERO;
  private Optional<Transaction> transaction = Optional.empty();

  Session(
      TrafficContext context,
      Servers servers,
      SessionAdmission admission,
      CallerConnection caller,
      DatabaseName database,
      Identity identity) {
    this.context = context;
    this.servers = servers;
    this.admission = admission;
    this.caller = caller;
    this.database = database;
    this.identity = identity;
  }

  /** Takes the next statement of the caller. */
  public void receive(RequestId id, Statement statement) {
    if (closed) {
      return;
    }
    if (queue.size() >= MAXIMUM_QUEUED) {
      context.log().write("session-cut-off", "reason", "too many statements without answers");
      caller.close();
      ended();
      return;
    }
    queue.addLast(new Queued(id, statement));
    next();
  }

  /** Ends the session because the caller's connection has ended. */
  public void ended() {
    closed = true;
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

  boolean isIdle() {
    return !busy && queue.isEmpty() && transaction.isEmpty();
  }

  /** Closes the connection if no statement and no transaction is open. */
  void closeIfIdle() {
    if (!closed && isIdle()) {
      closed = true;
      caller.close();
    }
  }

  /** Ends a transaction that may no longer go on; its caller learns it with its next statement. */
  void abortTransaction() {
    if (!busy) {
      transaction.ifPresent(Transaction::abort);
    }
  }

  /** Ends a transaction whose caller has sent nothing for longer than the limit. */
  void expireTransaction(Duration limit) {
    if (!busy && transaction.filter(open -> open.rests(limit)).isPresent()) {
      transaction.get().abort();
    }
  }

  private void next() {
    if (busy || closed || queue.isEmpty()) {
      return;
    }
    Queued queued = queue.pollFirst();
    busy = true;
    dispatch(queued.id(), queued.statement());
  }

  /** Answers the statement that is being worked on. */
  void answer(Answer answer) {
    busy = false;
    if (closed) {
      return;
    }
    caller.answer(answer);
    next();
  }

  private SessionState state() {
    return transaction.map(Transaction::state).orElse(SessionState.IDLE);
  }

  void fail(FailureCode code, String detail) {
    answer(Answer.failed(code, detail, state()));
  }

  private void dispatch(RequestId id, Statement statement) {
    boolean failed = state() == SessionState.FAILED_TRANSACTION;
    if (failed
        && !(statement instanceof Statement.Rollback || statement instanceof Statement.Commit)) {
      fail(FailureCode.MALFORMED, "the transaction failed; end it with ROLLBACK");
      return;
    }
    if (statement instanceof Statement.SetValue set) {
      values.put(set.name(), set.value());
      answer(Answer.done(state()));
    } else if (statement instanceof Statement.Prepare prepare) {
      prepared.put(prepare.name(), prepare.shape());
      answer(Answer.done(state()));
    } else if (statement instanceof Statement.Deallocate deallocate) {
      deallocate(deallocate);
    } else if (statement instanceof Statement.Begin begin) {
      begin(id, begin);
    } else if (statement instanceof Statement.Commit commit) {
      commit(id, commit);
    } else if (statement instanceof Statement.Rollback) {
      rollback();
    } else if (statement instanceof Statement.Data data) {
      run(id, data.write(), new BackendStatement.Text(data.text()), Optional.empty());
    } else if (statement instanceof Statement.Execute execute) {
      execute(id, execute);
    } else {
      fail(FailureCode.MALFORMED, "the statement is not known");
    }
  }

  private void deallocate(Statement.Deallocate deallocate) {
    if (prepared.remove(deallocate.name()) == null) {
      fail(FailureCode.UNKNOWN_NAME, "no statement is prepared as " + deallocate.name());
    } else {
      answer(Answer.done(state()));
    }
  }

  private void execute(RequestId id, Statement.Execute execute) {
    PreparedShape shape = prepared.get(execute.name());
    if (shape == null) {
      fail(FailureCode.UNKNOWN_NAME, "no statement is prepared as " + execute.name());
      return;
    }
    run(
        id,
        shape.write(),
        new BackendStatement.Execute(shape, execute.arguments()),
        Optional.of(shape));
  }

  private void begin(RequestId id, Statement.Begin begin) {
    if (transaction.isPresent()) {
      fail(FailureCode.MALFORMED, "a transaction is open already");
      return;
    }
    admission.admit(
        this,
        id,
        route -> {
          transaction =
              Optional.of(new Transaction(context, servers, this, route, begin.readOnly()));
          answer(Answer.done(SessionState.IN_TRANSACTION));
        });
  }

  private void commit(RequestId id, Statement.Commit commit) {
    if (transaction.isEmpty()) {
      fail(FailureCode.MALFORMED, "no transaction is open");
      return;
    }
    transaction.get().commit(id, commit.text());
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

  private void run(
      RequestId id, boolean write, BackendStatement.Action action, Optional<PreparedShape> shape) {
    if (transaction.isPresent()) {
      transaction.get().run(id, write, action, shape);
      return;
    }
    admission.admit(
        this,
        id,
        route -> {
          boolean needsPrimary = write || route.kind() == RouteKind.PRIMARY;
          Work work =
              new Work(
                  id,
                  identity.workspace(),
                  route,
                  action,
                  needsPrimary,
                  write,
                  floor(route),
                  Map.copyOf(values),
                  shape);
          StatementRun.start(context, servers, work, outcome -> finished(route, write, outcome));
        });
  }

  private void finished(Route route, boolean write, Outcome outcome) {
    outcome.connection().ifPresent(PooledConnection::release);
    Answer answer = outcome.answer();
    if (answer.succeeded() && write) {
      answer = acknowledge(route, answer, outcome.connection().orElseThrow());
    } else if (answer.succeeded() && outcome.onPrimary()) {
      renewFloor(route, answer);
    }
    answer(answer.withState(SessionState.IDLE));
  }

  /**
   * Acknowledges a commit only if its server was the primary throughout: a replaced primary may
   * still commit, and nothing of that is kept.
   */
  Answer acknowledge(Route route, Answer answer, PooledConnection connection) {
    if (!context.isPrimary(connection.server())) {
      context.log().write("acknowledgement-withheld", "server", connection.server().id());
      return Answer.failed(
          FailureCode.OUTCOME_UNKNOWN, "the primary was replaced meanwhile", SessionState.IDLE);
    }
    answer
        .position()
        .ifPresent(
            position -> {
              floor = floor(route).max(position);
              floorGroup = route.group();
            });
    return answer;
  }

  /** A position of an earlier term may be on no server any more; the primary shows a valid one. */
  private void renewFloor(Route route, Answer answer) {
    answer
        .position()
        .filter(position -> position.term() > floor(route).term())
        .filter(position -> floor(route).term() > 0)
        .ifPresent(position -> floor = position);
  }

  /** Returns the newest commit of the session that its reads must see. */
  TermPosition floor(Route route) {
    boolean own = route.group().equals(floorGroup) && route.kind() != RouteKind.BOUNDED_STALENESS;
    return own ? floor : TermPosition.ZERO;
  }

  void transactionEnded() {
    transaction = Optional.empty();
  }

  Map<String, String> values() {
    return values;
  }

  WorkspaceId workspace() {
    return identity.workspace();
  }

  Identity identity() {
    return identity;
  }

  DatabaseName database() {
    return database;
  }

  private record Queued(RequestId id, Statement statement) {}
}
