package org.persimmonwalk.internal.engine.traffic;

import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/** A request for a pooled connection, queued until one is free or the deadline passes. */
final class ConnectionRequest {
  private final WorkspaceId workspace;
  private final int priority;
  private final MonotonicTime deadline;
  private final long sequence;
  private final MonotonicTime since;
  private final Listener listener;
  private boolean waiting = true;

  ConnectionRequest(
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

  /** Receives the result of the request. */
  interface Listener {

    /** The connection is reserved for the requester, who must release or discard it. */
    void granted(PooledConnection connection);

    /** No connection is available; nothing was sent. */
    void refused(Failure failure);
  }
}
