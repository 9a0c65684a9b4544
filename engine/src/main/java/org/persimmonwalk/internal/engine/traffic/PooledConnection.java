package org.persimmonwalk.internal.engine.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.BackendConnection;
import org.persimmonwalk.engine.BackendListener;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.engine.KeptBytes;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.SessionState;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * A pooled connection to a backend server, used by sessions of one workspace in turn. Remembers
 * which session variables and prepared statements are set on it.
 */
final class PooledConnection implements BackendListener {
  private final ConnectionId id;
  private final ServerPool pool;
  private final WorkspaceId workspace;
  private final MonotonicTime openedAt;
  private final Map<String, String> variables = new HashMap<>();
  private final PreparedStatements preparedStatements;
  private final Deque<Pending> pending = new ArrayDeque<>();
  private BackendConnection backend;
  private boolean open;
  private boolean ended;
  private boolean closedHere;
  private SessionState state = SessionState.IDLE;
  private MonotonicTime lastUsed;
  private long keptBytes;

  PooledConnection(ConnectionId id, ServerPool pool, WorkspaceId workspace, MonotonicTime now) {
    this.id = id;
    this.pool = pool;
    this.workspace = workspace;
    this.openedAt = now;
    this.lastUsed = now;
    this.preparedStatements =
        new PreparedStatements(pool.context().settings().sessionLimits().bytesPerConnection());
  }

  ConnectionId id() {
    return id;
  }

  ServerPool pool() {
    return pool;
  }

  void connect() {
    BackendConnection created = pool.context().connector().open(server(), workspace, this);
    if (ended) {
      created.close();
    } else {
      backend = created;
    }
  }

  ServerEntry server() {
    return pool.server();
  }

  WorkspaceId workspace() {
    return workspace;
  }

  MonotonicTime openedAt() {
    return openedAt;
  }

  MonotonicTime lastUsed() {
    return lastUsed;
  }

  boolean isOpen() {
    return open && !ended;
  }

  Map<String, String> variables() {
    return variables;
  }

  PreparedStatements preparedStatements() {
    return preparedStatements;
  }

  /**
   * Counts the variables and prepared statements after a change. They outlive those of the session
   * that set them. If the budget is spent, the connection may be closed for it, which its listener
   * is told later.
   */
  void countKept() {
    long before = keptBytes;
    keptBytes = preparedStatements.keptBytes() + variables.size() * KeptBytes.ENTRY_BYTES;
    variables.forEach((name, value) -> keptBytes += name.length() + value.length());
    backend.keep(keptBytes - before);
  }

  /** Returns whether the server has to accept the connection or to answer a statement. */
  boolean awaitsResponse() {
    return !isOpen() || !pending.isEmpty();
  }

  /**
   * Sends a statement; exactly one method of the listener is called, or none if the connection is
   * discarded first. A statement that a cold server must not get is answered here as not run.
   */
  void send(BackendStatement statement, StatementListener listener) {
    if (!isOpen()) {
      listener.lost("the connection was already closed");
      return;
    }
    if (pool.context().isPastEvacuationDeadline(server())) {
      discard();
      listener.lost("the zone of the server is evacuated");
      return;
    }
    if (!pool.coldServers().admitStatement(server())) {
      Failure failure = ColdServerGate.NOT_ADMITTED;
      listener.answered(
          Answer.failed(failure.code(), failure.detail(), state), pool.context().now());
      return;
    }
    pending.addLast(new Pending(listener, pool.context().now()));
    backend.send(statement);
  }

  /** Returns whether statements may be sent, now or within a second. */
  boolean mayContinue() {
    return pool.coldServers().hasPart(server());
  }

  /**
   * Runs the first action once a statement may be sent, or the other one if that will not be so
   * before the deadline.
   */
  void whenAdmitted(MonotonicTime deadline, Runnable admitted, Runnable refused) {
    pool.coldServers().whenAdmitted(server(), deadline, admitted, refused);
  }

  /** Returns whether a message on this connection can carry the statement. */
  boolean canSend(BackendStatement statement) {
    return !isOpen() || backend.canSend(statement);
  }

  /**
   * Closes the connection, since the server has reported a name as unknown that was prepared on it:
   * its session variables may be lost as well.
   */
  void discardAsReset(RequestId request) {
    pool.context().meter().count("prepared-statement.unknown");
    pool.context().log().write("prepared-statement-unknown", "request", request, "connection", id);
    discard();
  }

  /** Returns the connection to the pool; one with an unanswered statement is discarded instead. */
  void release() {
    if (ended) {
      return;
    }
    if (!pending.isEmpty()) {
      discard();
      return;
    }
    lastUsed = pool.context().now();
    pool.released(this);
  }

  /**
   * Closes the connection without notifying listeners; the server rolls back an open transaction.
   */
  void discard() {
    if (ended) {
      return;
    }
    end();
    if (backend != null) {
      backend.close();
    }
    pool.ended(this);
  }

  /** Closes the connection and fails its unanswered statements as lost. */
  void closeAsLost(String reason) {
    if (ended) {
      return;
    }
    BackendConnection closing = backend;
    closedHere = true;
    closed(reason);
    if (closing != null) {
      closing.close();
    }
  }

  /** Returns whether this host closed the connection, or gave up opening it. */
  boolean wasClosedHere() {
    return closedHere;
  }

  /** Returns whether the server ever accepted the connection. */
  boolean wasEverOpen() {
    return open;
  }

  private void end() {
    ended = true;
    pending.clear();
  }

  @Override
  public void opened(BackendConnection connection, Optional<TermPosition> position) {
    backend = connection;
    open = true;
    pool.opened(this, position);
  }

  @Override
  public void refused(Failure failure) {
    if (!ended) {
      end();
      pool.refused(this, failure);
    }
  }

  @Override
  public void answered(Answer answer) {
    Pending oldest = pending.pollFirst();
    pool.answerReceived();
    state = answer.state();
    if (oldest != null) {
      oldest.listener().answered(answer, oldest.sentAt());
    }
  }

  @Override
  public void closed(String reason) {
    if (ended) {
      return;
    }
    Deque<Pending> unanswered = new ArrayDeque<>(pending);
    end();
    pool.lost(this, reason);
    unanswered.forEach(waiting -> waiting.listener().lost(reason));
  }

  @Override
  public void shed(String reason) {
    if (ended) {
      return;
    }
    Deque<Pending> unanswered = new ArrayDeque<>(pending);
    end();
    pool.context().meter().count("connection.shed");
    pool.context().log().write("connection-shed", "connection", id, "bytes", keptBytes);
    // Not lost: nothing shows that the server has failed or restarted.
    pool.ended(this);
    unanswered.forEach(waiting -> waiting.listener().lost(reason));
  }

  /** Receives the result of one statement. */
  interface StatementListener {

    /** The server answered. */
    void answered(Answer answer, MonotonicTime sentAt);

    /** The connection ended before the answer. */
    void lost(String reason);
  }

  private record Pending(StatementListener listener, MonotonicTime sentAt) {}
}
