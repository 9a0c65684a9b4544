package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.BackendConnection;
import org.persimmonwalk.engine.BackendConnector;
import org.persimmonwalk.engine.BackendListener;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.SessionState;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.engine.testing.FakeScheduler;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.WorkspaceId;

/**
 * Backend servers that run as many statements at once as they have slots, keep a short queue in
 * order of arrival and answer OVERLOADED when it is full. The text of a statement ends with the
 * milliseconds that it takes.
 */
final class QueueingServers implements BackendConnector {
  private static final int QUEUE_LIMIT = 32;
  private static final double CONNECT_MILLIS = 12;
  private static final double CONTROL_MILLIS = 0.2;
  private static final Duration ONE_WAY = Duration.ofMillis(1);
  private static final TermPosition POSITION = TermPosition.of(1, 1);

  /** By how much the statements of a server take longer than usual. */
  final Map<BackendServerId, Double> slowness = new HashMap<>();

  private final FakeScheduler scheduler;
  private final int maximumConnections;
  private final Map<BackendServerId, Server> servers = new HashMap<>();

  QueueingServers(FakeScheduler scheduler, int maximumConnections) {
    this.scheduler = scheduler;
    this.maximumConnections = maximumConnections;
  }

  @Override
  public BackendConnection open(
      ServerEntry entry, WorkspaceId workspace, BackendListener listener) {
    Server server = servers.computeIfAbsent(entry.id(), id -> new Server(id, entry.slots()));
    Connection connection = new Connection(server, listener);
    scheduler.schedule(ONE_WAY, connection::accept);
    return connection;
  }

  private final class Server {
    private final BackendServerId id;
    private final SimulatedServer work;
    private int connections;

    private Server(BackendServerId id, int slots) {
      this.id = id;
      this.work = SimulatedServer.ofQueue(scheduler, slots, QUEUE_LIMIT);
    }

    /** Runs work, or returns false if the queue is full. */
    private boolean run(double millis, Runnable done) {
      return work.run(millis * slowness.getOrDefault(id, 1.0), done);
    }
  }

  private final class Connection implements BackendConnection {
    private final Server server;
    private final BackendListener listener;
    private boolean counted;
    private boolean closed;
    private boolean inTransaction;

    private Connection(Server server, BackendListener listener) {
      this.server = server;
      this.listener = listener;
    }

    private void accept() {
      if (closed) {
        return;
      }
      if (server.connections >= maximumConnections) {
        refuse();
        return;
      }
      server.connections++;
      counted = true;
      if (!server.run(
          CONNECT_MILLIS, () -> deliver(() -> listener.opened(this, Optional.of(POSITION))))) {
        refuse();
      }
    }

    private void refuse() {
      deliver(
          () -> listener.refused(Failure.of(FailureCode.NO_CONNECTION_LEFT, server.id.value())));
      uncount();
    }

    private void uncount() {
      server.connections -= counted ? 1 : 0;
      counted = false;
    }

    private void deliver(Runnable event) {
      scheduler.schedule(
          ONE_WAY,
          () -> {
            if (!closed) {
              event.run();
            }
          });
    }

    @Override
    public void send(BackendStatement statement) {
      scheduler.schedule(ONE_WAY, () -> receive(statement));
    }

    private void receive(BackendStatement statement) {
      if (closed) {
        return;
      }
      if (!server.run(millis(statement), () -> finish(statement))) {
        SessionState state = inTransaction ? SessionState.IN_TRANSACTION : SessionState.IDLE;
        Answer busy = Answer.failed(FailureCode.OVERLOADED, "the queue is full", state);
        deliver(() -> listener.answered(busy));
      }
    }

    private void finish(BackendStatement statement) {
      if (statement.action() instanceof BackendStatement.Begin) {
        inTransaction = true;
      } else if (isCommit(statement)) {
        inTransaction = false;
      }
      Answer done =
          new Answer(
              List.of(),
              Answer.NO_PROOF,
              Optional.empty(),
              inTransaction ? SessionState.IN_TRANSACTION : SessionState.IDLE,
              Optional.of(POSITION));
      deliver(() -> listener.answered(done));
    }

    @Override
    public void close() {
      closed = true;
      uncount();
    }
  }

  private static boolean isCommit(BackendStatement statement) {
    return statement.action() instanceof BackendStatement.Text text && text.text().equals("COMMIT");
  }

  private static double millis(BackendStatement statement) {
    if (!(statement.action() instanceof BackendStatement.Text text) || isCommit(statement)) {
      return CONTROL_MILLIS;
    }
    return Double.parseDouble(text.text().substring(text.text().lastIndexOf(' ') + 1));
  }
}
