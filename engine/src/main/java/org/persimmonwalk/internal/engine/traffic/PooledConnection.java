package org.persimmonwalk.internal.engine.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.BackendConnection;
import org.persimmonwalk.engine.BackendListener;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.engine.PreparedShape;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/** A connection to a backend server that sessions of one workspace use in turn. */
final class PooledConnection implements BackendListener {
  private final ServerPool pool;
  private final WorkspaceId workspace;
  private final MonotonicTime openedAt;
  private final Map<String, String> values = new HashMap<>();
  private final Set<PreparedShape> prepared = new HashSet<>();
  private final Deque<Pending> pending = new ArrayDeque<>();
  private BackendConnection link;
  private boolean open;
  private boolean ended;
  private MonotonicTime lastUsed;

  PooledConnection(ServerPool pool, WorkspaceId workspace, MonotonicTime now) {
    this.pool = pool;
    this.workspace = workspace;
    this.openedAt = now;
    this.lastUsed = now;
  }

  ServerPool pool() {
    return pool;
  }

  void connect() {
    BackendConnection made = pool.context().connector().open(server(), workspace, this);
    if (ended) {
      made.close();
    } else {
      link = made;
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

  Map<String, String> values() {
    return values;
  }

  Set<PreparedShape> prepared() {
    return prepared;
  }

  /** Returns when the oldest statement without an answer was sent. */
  Optional<MonotonicTime> waitingSince() {
    return Optional.ofNullable(pending.peekFirst()).map(Pending::sentAt);
  }

  /** Sends a statement; exactly one method of the listener is called later. */
  void send(BackendStatement statement, StatementListener listener) {
    if (!isOpen()) {
      listener.lost("the connection has ended");
      return;
    }
    pending.addLast(new Pending(listener, pool.context().now()));
    link.send(statement);
  }

  /** Gives the connection back for the next session. */
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

  /** Closes the connection; whatever ran in its open transaction is rolled back by the server. */
  void discard() {
    if (ended) {
      return;
    }
    end();
    if (link != null) {
      link.close();
    }
    pool.ended(this);
  }

  /** Ends the connection as lost; statements without an answer learn it. */
  void giveUp(String reason) {
    if (ended) {
      return;
    }
    BackendConnection closing = link;
    closed(reason);
    if (closing != null) {
      closing.close();
    }
  }

  /** Returns whether the server ever accepted the connection. */
  boolean isOpenedOnce() {
    return open;
  }

  private void end() {
    ended = true;
    pending.clear();
  }

  @Override
  public void opened(BackendConnection connection, Optional<TermPosition> position) {
    link = connection;
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
    pool.heard();
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

  /** Is told how one statement ended. */
  interface StatementListener {

    /** The server answered. */
    void answered(Answer answer, MonotonicTime sentAt);

    /** The connection ended before the answer. */
    void lost(String reason);
  }

  private record Pending(StatementListener listener, MonotonicTime sentAt) {}
}
