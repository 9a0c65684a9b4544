package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.PreparedShape;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.SessionState;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.model.MonotonicTime;

/**
 * An open transaction. It takes a backend connection with its first statement and keeps it until
 * the end, so that callers that rest after BEGIN hold none.
 */
final class Transaction {
  /** A full server that ran nothing is asked again after this pause. */
  private static final Duration RETRY_PAUSE = Duration.ofMillis(15);

  private final TrafficContext context;
  private final Servers servers;
  private final Session session;
  private final Route route;
  private final boolean readOnly;
  private PooledConnection connection;
  private SessionState state = SessionState.IN_TRANSACTION;
  private boolean wrote;
  private boolean ended;
  private MonotonicTime lastUsed;

  Transaction(
      TrafficContext context, Servers servers, Session session, Route route, boolean readOnly) {
    this.context = context;
    this.servers = servers;
    this.session = session;
    this.route = route;
    this.readOnly = readOnly;
    this.lastUsed = context.now();
  }

  SessionState state() {
    return state;
  }

  boolean rests(Duration limit) {
    return context.now().since(lastUsed).compareTo(limit) > 0;
  }

  void run(
      RequestId id, boolean write, BackendStatement.Action action, Optional<PreparedShape> shape) {
    withConnection(
        id,
        () ->
            Setup.run(
                connection,
                Map.copyOf(session.values()),
                shape,
                ready -> {
                  if (ready) {
                    wrote |= write;
                    send(id, action, context.now().plus(route.statementTimeout()));
                  } else {
                    failed("the session could not be set up");
                  }
                }));
  }

  private void withConnection(RequestId id, Runnable action) {
    if (route.kind() == RouteKind.PRIMARY || !readOnly) {
      if (connection != null && !context.isPrimary(connection.server())) {
        failed("the primary is being replaced");
        return;
      }
    }
    if (session.needsKey() && !mayGoOn()) {
      failed("the key can no longer be verified");
      return;
    }
    if (connection != null) {
      if (connection.isOpen()) {
        action.run();
      } else {
        failed("the connection to the server has ended");
      }
      return;
    }
    StatementRun.start(context, servers, opening(id), outcome -> opened(outcome, action));
  }

  /** Checks the key on each statement, as a withdrawn key must stop in open transactions too. */
  private boolean mayGoOn() {
    return context.keysAreVerified()
        && session
            .identity()
            .key()
            .map(context.entry(EngineEntries.CONFIGURATION).keys()::get)
            .filter(session.workspace()::equals)
            .isPresent();
  }

  private Work opening(RequestId id) {
    return new Work(
        RequestId.OWN,
        session.workspace(),
        route,
        new BackendStatement.Begin(readOnly),
        !readOnly || route.kind() == RouteKind.PRIMARY,
        false,
        session.floor(route),
        Map.copyOf(session.values()),
        Optional.empty());
  }

  private void opened(Outcome outcome, Runnable action) {
    if (ended) {
      outcome.connection().ifPresent(PooledConnection::discard);
      return;
    }
    if (!outcome.answer().succeeded()) {
      fail(outcome.answer().failure().orElseThrow().code(), "the transaction did not begin");
      return;
    }
    connection = outcome.connection().orElseThrow();
    action.run();
  }

  private void failed(String detail) {
    fail(FailureCode.ABORTED, detail + "; nothing of the transaction is kept");
  }

  private void fail(FailureCode code, String detail) {
    abort();
    context
        .log()
        .write("transaction-failed", "group", route.group(), "code", code, "detail", detail);
    session.fail(code.nothingKept() ? code : FailureCode.ABORTED, detail);
  }

  private void send(RequestId id, BackendStatement.Action action, MonotonicTime deadline) {
    Pending pending = new Pending(id, action, deadline);
    pending.cancel =
        context.scheduler().schedule(deadline.since(context.now()), () -> timeOut(pending));
    connection.send(BackendStatement.of(id, Optional.empty(), action), pending);
  }

  private void timeOut(Pending pending) {
    if (!pending.done) {
      pending.done = true;
      failed("a statement got no answer in time");
    }
  }

  private void answered(Pending pending, Answer answer) {
    lastUsed = context.now();
    if (answer.failedWith(FailureCode.OVERLOADED)
        && answer.state() == SessionState.IN_TRANSACTION
        && lastUsed.plus(RETRY_PAUSE).isBefore(pending.deadline)) {
      context.meter().count("statement.retried");
      context.scheduler().schedule(RETRY_PAUSE, () -> sendAgain(pending));
      return;
    }
    if (answer.succeeded()) {
      answer
          .position()
          .ifPresent(position -> servers.positionSeen(connection.server(), position, pending.at));
      session.answer(answer.withState(SessionState.IN_TRANSACTION));
      return;
    }
    state = SessionState.FAILED_TRANSACTION;
    session.answer(answer.withState(state));
  }

  private void sendAgain(Pending pending) {
    if (!ended && connection != null) {
      send(pending.id, pending.action, pending.deadline);
    }
  }

  /** Ends the transaction; a failed one is rolled back and says so. */
  void commit(RequestId id, String text) {
    if (state == SessionState.FAILED_TRANSACTION) {
      abandon();
      session.transactionEnded();
      session.fail(FailureCode.ABORTED, "the transaction had failed and was rolled back");
      return;
    }
    withConnection(
        id,
        () -> {
          PooledConnection used = connection;
          Commit pending = new Commit(used);
          pending.cancel = context.scheduler().schedule(route.statementTimeout(), pending::timeOut);
          used.send(
              BackendStatement.of(id, Optional.empty(), new BackendStatement.Text(text)), pending);
        });
  }

  /** Gives the connection back, rolled back, and forgets the transaction. */
  void abandon() {
    ended = true;
    if (connection == null) {
      return;
    }
    PooledConnection used = connection;
    connection = null;
    if (used.waitingSince().isPresent() || !used.isOpen()) {
      used.discard();
      return;
    }
    used.send(
        BackendStatement.own(new BackendStatement.Rollback()),
        new PooledConnection.StatementListener() {
          @Override
          public void answered(Answer answer, MonotonicTime sentAt) {
            if (answer.succeeded() && answer.state() == SessionState.IDLE) {
              used.release();
            } else {
              used.discard();
            }
          }

          @Override
          public void lost(String reason) {
            context.log().write("rollback-lost", "server", used.server().id(), "reason", reason);
          }
        });
  }

  /** Ends the work on the server; the caller has still to end the transaction. */
  void abort() {
    state = SessionState.FAILED_TRANSACTION;
    if (connection != null) {
      connection.discard();
      connection = null;
    }
  }

  private final class Pending implements PooledConnection.StatementListener {
    private final RequestId id;
    private final BackendStatement.Action action;
    private final MonotonicTime deadline;
    private final MonotonicTime at = context.now();
    private Runnable cancel = () -> {};
    private boolean done;

    private Pending(RequestId id, BackendStatement.Action action, MonotonicTime deadline) {
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
        failed("the connection to the server ended: " + reason);
      }
    }
  }

  private final class Commit implements PooledConnection.StatementListener {
    private final PooledConnection used;
    private Runnable cancel = () -> {};
    private boolean done;

    private Commit(PooledConnection used) {
      this.used = used;
    }

    @Override
    public void answered(Answer answer, MonotonicTime sentAt) {
      cancel.run();
      if (done) {
        return;
      }
      Answer told = answer.succeeded() && wrote ? session.acknowledge(route, answer, used) : answer;
      if (answer.state() == SessionState.IDLE) {
        used.release();
      } else {
        used.discard();
      }
      finish(told);
    }

    @Override
    public void lost(String reason) {
      cancel.run();
      unanswered("the connection ended before the answer to COMMIT: " + reason);
    }

    private void timeOut() {
      if (!done) {
        used.discard();
        unanswered("COMMIT got no answer in time");
      }
    }

    private void unanswered(String detail) {
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
