package org.persimmonwalk.internal.traffic.backend;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntSupplier;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.result.ResultCode;
import org.tinylog.Logger;

/**
 * The connections of this host to one backend server, granted to statements in the order of their
 * requests. Thread-safe.
 */
public final class ServerPool {
  private static final int MAXIMUM_WAITERS = 10_000;

  private final DatabaseGroupId group;
  private final BackendServer server;
  private final BackendConnector connector;
  private final IntSupplier allowance;
  private final Deque<BackendConnection> idle = new ArrayDeque<>();
  private final Set<BackendConnection> open = new HashSet<>();
  private final Deque<ConnectionWaiter> waiters = new ArrayDeque<>();
  private int opening;
  private int peak;
  private long failures;
  private boolean closed;

  private ServerPool(
      DatabaseGroupId group,
      BackendServer server,
      BackendConnector connector,
      IntSupplier allowance) {
    this.group = group;
    this.server = server;
    this.connector = connector;
    this.allowance = allowance;
  }

  /**
   * Returns an empty pool.
   *
   * @param allowance the number of connections that the pool may have open now
   */
  static ServerPool of(
      DatabaseGroupId group,
      BackendServer server,
      BackendConnector connector,
      IntSupplier allowance) {
    return new ServerPool(group, server, connector, allowance);
  }

  /** Requests a connection, which the waiter receives when one is idle or has been opened. */
  public void acquire(ConnectionWaiter waiter) {
    List<Runnable> actions = new ArrayList<>();
    synchronized (this) {
      if (closed || waiters.size() >= MAXIMUM_WAITERS) {
        ResultCode code = closed ? ResultCode.NO_CONNECTION : ResultCode.QUEUE_FULL;
        actions.add(() -> waiter.refused(code));
      } else {
        waiters.add(waiter);
        peak = Math.max(peak, outstanding());
        dispatch(actions);
      }
    }
    actions.forEach(Runnable::run);
  }

  /** Removes a waiter and returns whether it was still waiting. */
  public synchronized boolean cancel(ConnectionWaiter waiter) {
    return waiters.remove(waiter);
  }

  /**
   * Returns a connection to the pool.
   *
   * @param reusable whether the connection is idle, with no answer outstanding
   */
  public void release(BackendConnection connection, boolean reusable) {
    List<Runnable> actions = new ArrayList<>();
    synchronized (this) {
      boolean keep = reusable && !closed && open.size() <= allowance.getAsInt();
      if (keep && connection.isUsable() && open.contains(connection)) {
        idle.addFirst(connection);
        dispatch(actions);
      } else {
        actions.add(connection::close);
      }
    }
    actions.forEach(Runnable::run);
  }

  /** Returns the number of statements that hold or await a connection. */
  public synchronized int outstanding() {
    return open.size() - idle.size() + waiters.size();
  }

  /** Returns the number of connections that are open or being opened. */
  public synchronized int openConnections() {
    return open.size() + opening;
  }

  /** Returns the most statements that held or awaited a connection since the last call. */
  public synchronized int takePeak() {
    int taken = Math.max(peak, outstanding());
    peak = outstanding();
    return taken;
  }

  /** Closes idle connections beyond the allowance; those in use close when they are released. */
  public void shrink() {
    List<Runnable> actions = new ArrayList<>();
    synchronized (this) {
      int excess = openConnections() - allowance.getAsInt();
      while (excess > 0 && !idle.isEmpty()) {
        actions.add(idle.removeLast()::close);
        excess--;
      }
    }
    actions.forEach(Runnable::run);
  }

  /** Closes all connections, even those in use; their statements end as on a lost connection. */
  public void closeConnections() {
    List<BackendConnection> closing;
    synchronized (this) {
      closing = List.copyOf(open);
    }
    closing.forEach(BackendConnection::close);
  }

  /** Closes the idle connections and refuses those that wait; others close when released. */
  public void close() {
    List<Runnable> actions = new ArrayList<>();
    synchronized (this) {
      closed = true;
      idle.forEach(connection -> actions.add(connection::close));
      idle.clear();
      refuseWaiters(actions);
    }
    actions.forEach(Runnable::run);
  }

  private void dispatch(List<Runnable> actions) {
    while (!waiters.isEmpty() && !idle.isEmpty()) {
      BackendConnection connection = idle.poll();
      if (connection.isUsable()) {
        ConnectionWaiter waiter = waiters.poll();
        actions.add(() -> waiter.granted(connection));
      }
    }
    int wanted = Math.min(waiters.size() - opening, allowance.getAsInt() - open.size() - opening);
    for (int i = 0; i < wanted; i++) {
      opening++;
      actions.add(this::open);
    }
  }

  private void open() {
    connector.connect(group, server, this::onClosed).whenComplete(this::onOpened);
  }

  private void onOpened(BackendConnection connection, Throwable failure) {
    List<Runnable> actions = new ArrayList<>();
    synchronized (this) {
      opening--;
      if (failure == null) {
        logRecovery();
        open.add(connection);
        idle.addFirst(connection);
        dispatch(actions);
      } else {
        failures++;
        if (failures == 1) {
          Logger.warn(
              "could not connect to backend server {}; further failures are not logged: {}",
              server.id(),
              failure.getMessage());
        }
        if (open.isEmpty() && opening == 0) {
          refuseWaiters(actions);
        }
      }
    }
    actions.forEach(Runnable::run);
  }

  /** Logs the end of an outage, of which only the first failed attempt was logged. */
  private void logRecovery() {
    if (failures > 0) {
      Logger.info("connected to backend server {} after {} failed attempts", server.id(), failures);
      failures = 0;
    }
  }

  private void refuseWaiters(List<Runnable> actions) {
    List<ConnectionWaiter> refused = List.copyOf(waiters);
    waiters.clear();
    refused.forEach(waiter -> actions.add(() -> waiter.refused(ResultCode.NO_CONNECTION)));
  }

  private void onClosed(BackendConnection connection) {
    List<Runnable> actions = new ArrayList<>();
    synchronized (this) {
      open.remove(connection);
      idle.remove(connection);
      dispatch(actions);
    }
    actions.forEach(Runnable::run);
  }
}
