package org.persimmonwalk.internal.engine.traffic;

import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/** A statement that waits for a connection. */
final class ConnectionWait {
  private final WorkspaceId workspace;
  private final int priority;
  private final MonotonicTime deadline;
  private final long sequence;
  private final MonotonicTime since;
  private final Listener listener;
  private boolean waiting = true;

  ConnectionWait(
      WorkspaceId workspace,
      int priority,
      MonotonicTime deadline,
      long sequence,
      MonotonicTime since,
      Listener listener) {
    this.workspace = workspace;
    this.priority = priority;
    this.deadline = deadline;
    this.sequence = sequence;
    this.since = since;
    this.listener = listener;
  }

  WorkspaceId workspace() {
    return workspace;
  }

  int priority() {
    return priority;
  }

  MonotonicTime deadline() {
    return deadline;
  }

  long sequence() {
    return sequence;
  }

  MonotonicTime since() {
    return since;
  }

  boolean isWaiting() {
    return waiting;
  }

  void cancel() {
    waiting = false;
  }

  void grant(PooledConnection connection) {
    waiting = false;
    listener.granted(connection);
  }

  void refuse(Failure failure) {
    waiting = false;
    listener.refused(failure);
  }

  /** Is told how the wait ended. */
  interface Listener {

    /** A connection is free for the statement. */
    void granted(PooledConnection connection);

    /** No connection can be had; nothing was sent. */
    void refused(Failure failure);
  }
}
