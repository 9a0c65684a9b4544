package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * This host's connections to one backend server, each for one workspace, and the queue of requests
 * for them. The server limits the connections of all hosts together; when it refuses one, nothing
 * was sent, so waiting statements may be reported as "not run".
 */
final class ServerPool {
  /** Refuses what waits for a server that is left because of an evacuation. */
  static final Failure EVACUATED =
      Failure.of(FailureCode.OVERLOADED, "the zone of the server is evacuated");

  private final TrafficContext context;
  private final ServerEntry server;
  private final ConnectionShare share;
  private final ServerHealth health;
  private final ServerEjection ejection;
  private final LoadCounter load = new LoadCounter();
  private final PoolListener listener;
  private final ColdServerGate coldServers;
  private final List<PooledConnection> connections = new ArrayList<>();
  private final IdleConnections idle = new IdleConnections();
  private final ConnectionQueue queue = new ConnectionQueue();
  private long sequence;

  ServerPool(
      TrafficContext context,
      ServerEntry server,
      ServerEjection ejection,
      PoolListener listener,
      ColdServerGate coldServers) {
    this.context = context;
    this.server = server;
    this.listener = listener;
    this.coldServers = coldServers;
    this.share = new ConnectionShare(context, server);
    this.health = new ServerHealth(context.now());
    this.ejection = ejection;
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

  ColdServerGate coldServers() {
    return coldServers;
  }

  /** Returns when the oldest open connection was opened; they are kept in this order. */
  Optional<MonotonicTime> oldestOpen() {
    return connections.stream()
        .filter(PooledConnection::isOpen)
        .map(PooledConnection::openedAt)
        .findFirst();
  }

  /** Returns whether several hosts share each slot of the group's servers. */
  boolean isShared() {
    return listener.isShared(server.group());
  }

  LoadCounter load() {
    return load;
  }

  ServerEjection ejection() {
    return ejection;
  }

  int outstanding() {
    return connections.size() - idle.size() + queue.size();
  }

  boolean hasIdle(WorkspaceId workspace) {
    return idle.has(workspace);
  }

  /** Returns whether a connection can be opened without closing an idle one, and then be kept. */
  boolean hasSpareConnection() {
    return connections.size() < share.limit() && share.mayKeepOne();
  }

  boolean hasRoom() {
    return !idle.isEmpty() || connections.size() < share.limit();
  }

  /**
   * Requests a connection; exactly one method of the listener is called, unless it is cancelled.
   */
  ConnectionRequest acquire(
      WorkspaceId workspace,
      int priority,
      MonotonicTime deadline,
      ConnectionRequest.Listener waiter) {
    ConnectionRequest request =
        new ConnectionRequest(workspace, priority, deadline, sequence++, context.now(), waiter);
    if (isLeft()) {
      request.refuse(EVACUATED);
      return request;
    }
    if (!coldServers.maySend(server)) {
      coldServers.recordKept(server);
      request.refuse(ColdServerGate.NOT_ADMITTED);
      return request;
    }
    if (expectedWait(request).compareTo(deadline.since(context.now())) > 0 && !hasIdle(workspace)) {
      request.refuse(
          Failure.of(
              FailureCode.OVERLOADED,
              "the expected wait for a connection is longer than the time left"));
      return request;
    }
    PooledConnection free = queue.isEmpty() ? idle.takeLatest(workspace) : null;
    if (free != null) {
      request.grant(free);
      return request;
    }
    queue.add(request);
    serveQueue();
    if (request.isWaiting()) {
      Duration left = deadline.since(context.now());
      context.scheduler().schedule(left.isNegative() ? Duration.ZERO : left, () -> expire(request));
    }
    return request;
  }

  /** Estimates how long the requests that are served earlier will keep the connections busy. */
  private Duration expectedWait(ConnectionRequest request) {
    double each = health.latencyMillis(context.now()) / share.limit();
    int ahead = isShared() ? queue.ahead(request) : queue.size();
    return Duration.ofMillis(Math.round(each * ahead));
  }

  private void expire(ConnectionRequest request) {
    if (request.isWaiting()) {
      queue.remove(request);
      request.refuse(Failure.of(FailureCode.OVERLOADED, "no connection became free in time"));
    }
  }

  private void serveQueue() {
    if (queue.isEmpty()) {
      return;
    }
    List<ConnectionRequest> unserved = new ArrayList<>();
    int connecting = (int) connections.stream().filter(connection -> !connection.isOpen()).count();
    while (!queue.isEmpty()) {
      ConnectionRequest request = queue.poll();
      if (!request.isWaiting()) {
        continue;
      }
      PooledConnection own = idle.takeLatest(request.workspace());
      if (own != null) {
        request.grant(own);
      } else {
        unserved.add(request);
      }
    }
    queue.addAll(unserved);
    for (ConnectionRequest request : unserved) {
      if (connecting > 0 && connectingFor(request.workspace()) > 0) {
        connecting--;
      } else if (!openConnectionFor(request)) {
        return;
      }
    }
  }

  private long connectingFor(WorkspaceId workspace) {
    return connections.stream()
        .filter(connection -> !connection.isOpen() && connection.workspace().equals(workspace))
        .count();
  }

  private boolean openConnectionFor(ConnectionRequest request) {
    if (health.isBackingOff(context.now()) || !coldServers.maySend(server)) {
      return false;
    }
    if (connections.size() >= share.limit()) {
      PooledConnection oldest = idle.oldest();
      if (oldest == null) {
        return false;
      }
      oldest.discard();
    }
    ConnectionId id = new ConnectionId(server.id(), listener.nextConnectionNumber());
    PooledConnection connection =
        new PooledConnection(id, this, request.workspace(), context.now());
    connections.add(connection);
    health.recordRequest(context.now());
    context.meter().count("connection.opened");
    connection.connect();
    return true;
  }

  void opened(PooledConnection connection, Optional<TermPosition> position) {
    health.recordResponse();
    listener.connectionOpened(server, context.now().since(connection.openedAt()));
    position.ifPresent(returned -> listener.positionSeen(server, returned, connection.openedAt()));
    idle.add(connection);
    serveQueue();
  }

  void refused(PooledConnection connection, Failure failure) {
    connections.remove(connection);
    health.recordFullServer(context.now());
    context.log().write("connection-refused", "server", server.id(), "code", failure.code());
    refuseQueued(failure);
  }

  /** Records a statement that the server answered with success. */
  void recordSuccess(MonotonicTime sentAt, MonotonicTime now) {
    Duration latency = now.since(sentAt);
    health.recordLatency(latency, now);
    load.recordAnswer(latency);
    ejection.recordSuccess(sentAt, now);
  }

  /** Records a statement that the server failed although another server could run it. */
  void recordFailure(MonotonicTime sentAt) {
    eject(sentAt, "a read failed that succeeded when it was repeated");
  }

  /** Records a read that the server refused. */
  void recordRefusal(MonotonicTime sentAt) {
    eject(sentAt, "the server refused a read as overloaded");
  }

  /** Records a statement whose answer never came. */
  void recordLoss(String reason) {
    eject(context.now(), reason);
  }

  private void eject(MonotonicTime sentAt, String reason) {
    load.recordFailure();
    if (isShared()) {
      ejection.recordFailure(sentAt, context.now(), reason);
    }
  }

  void answerReceived() {
    health.recordResponse();
  }

  void lost(PooledConnection connection, String reason) {
    connections.remove(connection);
    boolean wasIdle = idle.remove(connection);
    coldServers.connectionLost(connection, wasIdle, oldestOpen());
    refuseQueuedIfKept();
    if (!connection.wasEverOpen()) {
      health.recordConnectionFailure(context.now());
      eject(connection.openedAt(), "no connection: " + reason);
      refuseQueued(Failure.of(FailureCode.OVERLOADED, "the server cannot be reached: " + reason));
    }
    context
        .log()
        .write(
            "connection-lost",
            "server",
            server.id(),
            "connection",
            connection.id(),
            "reason",
            reason);
  }

  void ended(PooledConnection connection) {
    connections.remove(connection);
    idle.remove(connection);
  }

  void released(PooledConnection connection) {
    if (isLeft()) {
      connection.discard();
      return;
    }
    idle.add(connection);
    serveQueue();
  }

  /**
   * Returns whether this host keeps no idle connection to the server because its zone is evacuated.
   * A primary keeps them while it serves, until its planned switch or the evacuation deadline.
   */
  private boolean isLeft() {
    return context.isEvacuated(server)
        && (!context.isPrimary(server) || context.isPastEvacuationDeadline(server));
  }

  /** Closes the connections that run nothing if the server is left because of an evacuation. */
  void leaveIfEvacuated() {
    if (!isLeft()) {
      return;
    }
    refuseQueued(EVACUATED);
    retire();
    List.copyOf(connections).stream()
        .filter(connection -> !connection.isOpen())
        .forEach(PooledConnection::discard);
  }

  /** Refuses the waiting requests of a host that may send nothing to the server. */
  private void refuseQueuedIfKept() {
    if (!queue.isEmpty() && !coldServers.hasPart(server)) {
      coldServers.recordKept(server);
      refuseQueued(ColdServerGate.NOT_ADMITTED);
    }
  }

  private void refuseQueued(Failure failure) {
    queue.takeAll().stream()
        .filter(ConnectionRequest::isWaiting)
        .forEach(request -> request.refuse(failure));
  }

  /** Closes idle connections, and those that the server did not accept in time. */
  void tick(MonotonicTime now) {
    if (connections.isEmpty() && queue.isEmpty()) {
      health.clearUnanswered();
      return;
    }
    leaveIfEvacuated();
    refuseQueuedIfKept();
    for (PooledConnection connection : idle.toList()) {
      Duration idleTime = now.since(connection.lastUsed());
      if (idleTime.compareTo(share.idleTimeout(connections.size())) > 0) {
        connection.discard();
      }
    }
    if (!queue.isEmpty() || connections.stream().anyMatch(PooledConnection::awaitsResponse)) {
      health.recordRequest(now);
    } else {
      health.clearUnanswered();
    }
    for (PooledConnection connection : List.copyOf(connections)) {
      boolean connecting = !connection.isOpen();
      if (connecting
          && now.since(connection.openedAt()).compareTo(ServerHealth.RESPONSE_TIMEOUT) > 0) {
        connection.closeAsLost(
            "the server did not accept the connection within "
                + ServerHealth.RESPONSE_TIMEOUT.toMillis()
                + " ms");
      }
    }
  }

  /** Closes all connections; statements in flight fail as lost. */
  void close(String reason) {
    for (PooledConnection connection : List.copyOf(connections)) {
      connection.closeAsLost(reason);
    }
  }

  /** Closes idle connections and lets statements in flight finish. */
  void retire() {
    idle.toList().forEach(PooledConnection::discard);
  }

  boolean isEmpty() {
    return connections.isEmpty();
  }

  /** What a pool needs of the other pools of the host. */
  interface PoolListener {

    /** A server returned its position in the answer to a request sent at the given time. */
    void positionSeen(ServerEntry server, TermPosition position, MonotonicTime sentAt);

    /** A server accepted a connection after the given time. */
    void connectionOpened(ServerEntry server, Duration latency);

    /** Returns a number that no connection of this host has had. */
    long nextConnectionNumber();

    /** Returns whether several hosts share each slot of the group's servers. */
    boolean isShared(DatabaseGroupId group);
  }
}
