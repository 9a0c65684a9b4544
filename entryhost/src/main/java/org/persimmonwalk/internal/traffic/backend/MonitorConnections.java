package org.persimmonwalk.internal.traffic.backend;

import io.netty.buffer.UnpooledByteBufAllocator;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.wire.Frame;
import org.persimmonwalk.wire.MessageType;
import org.persimmonwalk.wire.Messages;

/**
 * One connection to each backend server for samples and administration. These connections are
 * separate from the pools, so that open transactions do not delay the detection of failures.
 */
public final class MonitorConnections {
  private final Map<BackendServerId, CompletionStage<BackendConnection>> connections =
      new ConcurrentHashMap<>();
  private final Map<BackendServerId, CompletionStage<Void>> lastQueries = new ConcurrentHashMap<>();
  private final BackendConnector connector;
  private final Duration timeout;
  private final Predicate<BackendServerId> allowed;

  private MonitorConnections(
      BackendConnector connector, Duration timeout, Predicate<BackendServerId> allowed) {
    this.connector = connector;
    this.timeout = timeout;
    this.allowed = allowed;
  }

  /**
   * Returns an instance without open connections.
   *
   * @param timeout how long a server may take to answer
   * @param allowed tells whether this host may have a connection to a server now
   */
  public static MonitorConnections of(
      BackendConnector connector, Duration timeout, Predicate<BackendServerId> allowed) {
    return new MonitorConnections(connector, timeout, allowed);
  }

  /**
   * Runs a statement that returns one row of text.
   *
   * @return the values of the row, or a failure; a connection that failed is closed
   */
  public CompletionStage<List<String>> query(
      DatabaseGroupId group, BackendServer server, String statement) {
    if (!allowed.test(server.id())) {
      closeDisallowed(server.id());
      return CompletableFuture.failedStage(
          PersimmonwalkException.of(
              ResultCode.NO_CONNECTION,
              "this host may not have a connection to backend server " + server.id() + " now"));
    }
    CompletableFuture<List<String>> result = new CompletableFuture<>();
    lastQueries.compute(
        server.id(),
        (id, last) -> {
          CompletionStage<Void> previous =
              last == null ? CompletableFuture.completedStage(null) : last;
          return previous
              .thenCompose(done -> runNow(group, server, statement))
              .handle((row, failure) -> complete(result, row, failure));
        });
    return result;
  }

  /** Runs a statement; the previous one has ended, as a connection runs one at a time. */
  private CompletionStage<List<String>> runNow(
      DatabaseGroupId group, BackendServer server, String statement) {
    CompletionStage<BackendConnection> connection =
        connections.computeIfAbsent(
            server.id(), id -> connector.connect(group, server, this::remove));
    return connection
        .whenComplete((opened, failure) -> removeOnFailure(server, connection, failure))
        .thenCompose(opened -> run(opened, statement));
  }

  private static Void complete(
      CompletableFuture<List<String>> result, List<String> row, Throwable failure) {
    if (failure == null) {
      result.complete(row);
    } else {
      result.completeExceptionally(failure);
    }
    return null;
  }

  /** Returns whether a connection to the server is open or being opened. */
  public boolean isConnected(BackendServerId server) {
    return connections.containsKey(server);
  }

  private void closeDisallowed(BackendServerId server) {
    CompletionStage<BackendConnection> connection = connections.remove(server);
    if (connection != null) {
      connection.thenAccept(BackendConnection::close);
    }
  }

  /** Closes all connections. */
  public void close() {
    connections.values().forEach(stage -> stage.thenAccept(BackendConnection::close));
  }

  private CompletionStage<List<String>> run(BackendConnection connection, String statement) {
    RowCollector collector = new RowCollector();
    Messages messages = Messages.of(UnpooledByteBufAllocator.DEFAULT);
    connection.exchange(ExchangePlan.of(List.of(messages.query(statement))), collector);
    return collector
        .result
        .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
        .whenComplete((row, failure) -> closeOnFailure(connection, failure));
  }

  private static void closeOnFailure(BackendConnection connection, Throwable failure) {
    if (failure != null) {
      connection.close();
    }
  }

  private void removeOnFailure(
      BackendServer server, CompletionStage<BackendConnection> connection, Throwable failure) {
    if (failure != null) {
      connections.remove(server.id(), connection);
    }
  }

  private void remove(BackendConnection connection) {
    connections.remove(connection.server().id());
  }

  /** Collects the last row of an answer. */
  private static final class RowCollector implements ExchangeListener {
    private final CompletableFuture<List<String>> result = new CompletableFuture<>();
    private List<String> row = List.of();

    @Override
    public void onFrame(Frame frame) {
      if (frame.is(MessageType.DATA_ROW)) {
        row = SampleRow.values(frame);
      }
      frame.release();
    }

    @Override
    public void onReadComplete() {
      // The row is used only when the answer is complete.
    }

    @Override
    public void onFinished(ExchangeResult exchangeResult) {
      if (row.isEmpty()) {
        onLost("the answer has no row");
      } else {
        result.complete(row);
      }
    }

    @Override
    public void onLost(String reason) {
      result.completeExceptionally(PersimmonwalkException.of(ResultCode.NO_CONNECTION, reason));
    }
  }
}
