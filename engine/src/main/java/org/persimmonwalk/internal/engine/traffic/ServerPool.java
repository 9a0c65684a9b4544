package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.GroupSettings;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * This host's connections to one backend server, each for one workspace. The server bounds the
 * connections of all hosts together and refuses more with a true "not run".
 */
final class ServerPool {
  /** More connections than this would only move the queue from the host to the server. */
  static final int MAXIMUM_CONNECTIONS = 6;

  /** A connection beyond the first that rests for so long makes room for other hosts. */
  static final Duration SPARE_IDLE = Duration.ofSeconds(12);

  /** The last connection rests longer, as making a new one takes one of the server's slots. */
  static final Duration LAST_IDLE = Duration.ofSeconds(30);

  private final TrafficContext context;
  private final ServerEntry server;
  private final ServerHealth health;
  private final PoolListener listener;
  private final List<PooledConnection> connections = new ArrayList<>();
  private final List<PooledConnection> idle = new ArrayList<>();
  private final PriorityQueue<ConnectionWait> waits =
      new PriorityQueue<>(
          Comparator.comparingInt(ConnectionWait::priority)
              .thenComparing(ConnectionWait::deadline)
              .thenComparingLong(ConnectionWait::sequence));
  private long sequence;

  ServerPool(TrafficContext context, ServerEntry server, PoolListener listener) {
    this.context = context;
    this.server = server;
    this.listener = listener;
    this.health = new ServerHealth(context.now());
  }

  TrafficContext context() {
    return context;
  }

  ServerEntry server() {
    return server;
  }

  ServerHealth health() {
    return health;
  }

  int outstanding() {
    return connections.size() - idle.size() + waits.size();
  }

  boolean hasIdle(WorkspaceId workspace) {
    return idle.stream().anyMatch(connection -> connection.workspace().equals(workspace));
  }

  boolean hasRoom() {
    return !idle.isEmpty() || connections.size() < limit();
  }

  /** Returns this host's even part of the connections that the server accepts. */
  private int limit() {
    GroupSettings group = context.entry(EngineEntries.CONFIGURATION).groups().get(server.group());
    int accepted = group == null ? 1 : group.maximumConnections();
    int even = accepted / context.entry(EngineEntries.ACTIVE_HOSTS);
    return Math.max(1, Math.min(MAXIMUM_CONNECTIONS, even));
  }

  /** Asks for a connection; exactly one method of the wait is called, unless it is cancelled. */
  ConnectionWait acquire(
      WorkspaceId workspace, int priority, MonotonicTime deadline, ConnectionWait.Listener waiter) {
    ConnectionWait wait =
        new ConnectionWait(workspace, priority, deadline, sequence++, context.now(), waiter);
    if (expectedWait().compareTo(deadline.since(context.now())) > 0 && !hasIdle(workspace)) {
      wait.refuse(Failure.of(FailureCode.OVERLOADED, "the queue for the server is too long"));
      return wait;
    }
    waits.add(wait);
    serve();
    if (wait.isWaiting()) {
      Duration left = deadline.since(context.now());
      context.scheduler().schedule(left.isNegative() ? Duration.ZERO : left, () -> expire(wait));
    }
    return wait;
  }

  /** Returns how long the statements that wait will keep the connections busy. */
  private Duration expectedWait() {
    double each = health.latencyMillis(context.now()) / limit();
    return Duration.ofMillis(Math.round(each * waits.size()));
  }

  private void expire(ConnectionWait wait) {
    if (wait.isWaiting()) {
      waits.remove(wait);
      wait.refuse(Failure.of(FailureCode.OVERLOADED, "no connection became free in time"));
    }
  }

  private void serve() {
    List<ConnectionWait> unserved = new ArrayList<>();
    int connecting = (int) connections.stream().filter(made -> !made.isOpen()).count();
    while (!waits.isEmpty()) {
      ConnectionWait wait = waits.poll();
      if (!wait.isWaiting()) {
        continue;
      }
      Optional<PooledConnection> own =
          idle.stream()
              .filter(connection -> connection.workspace().equals(wait.workspace()))
              .max(Comparator.comparing(PooledConnection::lastUsed));
      if (own.isPresent()) {
        idle.remove(own.get());
        wait.grant(own.get());
      } else {
        unserved.add(wait);
      }
    }
    waits.addAll(unserved);
    for (ConnectionWait wait : unserved) {
      if (connecting > 0 && connectingFor(wait.workspace()) > 0) {
        connecting--;
      } else if (!makeRoomFor(wait)) {
        return;
      }
    }
  }

  private long connectingFor(WorkspaceId workspace) {
    return connections.stream()
        .filter(made -> !made.isOpen() && made.workspace().equals(workspace))
        .count();
  }

  private boolean makeRoomFor(ConnectionWait wait) {
    if (health.isAvoided(context.now())) {
      return false;
    }
    if (connections.size() >= limit()) {
      Optional<PooledConnection> oldest =
          idle.stream().min(Comparator.comparing(PooledConnection::lastUsed));
      if (oldest.isEmpty()) {
        return false;
      }
      oldest.get().discard();
    }
    PooledConnection made = new PooledConnection(this, wait.workspace(), context.now());
    connections.add(made);
    health.asked(context.now());
    context.meter().count("connection.opened");
    made.connect();
    return true;
  }

  void opened(PooledConnection connection, Optional<TermPosition> position) {
    health.heard();
    position.ifPresent(shown -> listener.positionSeen(server, shown, connection.openedAt()));
    idle.add(connection);
    serve();
  }

  void refused(PooledConnection connection, Failure failure) {
    connections.remove(connection);
    health.full(context.now());
    context.log().write("connection-refused", "server", server.id(), "code", failure.code());
    refuseWaits(failure);
  }

  void heard() {
    health.heard();
  }

  void lost(PooledConnection connection, String reason) {
    connections.remove(connection);
    idle.remove(connection);
    if (!connection.isOpenedOnce()) {
      health.connectionFailed(context.now());
      refuseWaits(Failure.of(FailureCode.OVERLOADED, "the server cannot be reached: " + reason));
    }
    context.log().write("connection-lost", "server", server.id(), "reason", reason);
  }

  void ended(PooledConnection connection) {
    connections.remove(connection);
    idle.remove(connection);
  }

  void released(PooledConnection connection) {
    idle.add(connection);
    serve();
  }

  private void refuseWaits(Failure failure) {
    List<ConnectionWait> refused = new ArrayList<>(waits);
    waits.clear();
    refused.stream().filter(ConnectionWait::isWaiting).forEach(wait -> wait.refuse(failure));
  }

  /** Closes connections that rest, and all that wait for a server that says nothing. */
  void tick(MonotonicTime now) {
    for (PooledConnection connection : List.copyOf(idle)) {
      Duration rest = now.since(connection.lastUsed());
      Duration limit = connections.size() > 1 ? SPARE_IDLE : LAST_IDLE;
      if (rest.compareTo(limit) > 0) {
        connection.discard();
      }
    }
    boolean asked =
        !waits.isEmpty()
            || connections.stream()
                .anyMatch(made -> !made.isOpen() || made.waitingSince().isPresent());
    if (asked) {
      health.asked(now);
    } else {
      health.rested();
    }
    for (PooledConnection connection : List.copyOf(connections)) {
      boolean connecting = !connection.isOpen();
      if (connecting && now.since(connection.openedAt()).compareTo(ServerHealth.SILENCE) > 0) {
        connection.giveUp("the server does not answer");
      }
    }
  }

  /** Closes all connections; statements that run get their answers as lost. */
  void close(String reason) {
    for (PooledConnection connection : List.copyOf(connections)) {
      connection.giveUp(reason);
    }
  }

  /** Lets statements that run end, and closes connections that rest. */
  void retire() {
    List.copyOf(idle).forEach(PooledConnection::discard);
  }

  boolean isEmpty() {
    return connections.isEmpty();
  }

  /** Is told of the positions that servers show. */
  interface PoolListener {

    /** A server showed its position in an answer to something sent at the given time. */
    void positionSeen(ServerEntry server, TermPosition position, MonotonicTime sentAt);
  }
}
