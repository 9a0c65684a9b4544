package org.persimmonwalk.internal.traffic.caller;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.persimmonwalk.internal.traffic.backend.BackendConnection;
import org.persimmonwalk.internal.traffic.backend.ExchangeListener;
import org.persimmonwalk.internal.traffic.backend.ServerPool;
import org.persimmonwalk.internal.traffic.backend.SessionSettings;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.routing.StatementKind;
import org.persimmonwalk.wire.Frame;
import org.persimmonwalk.wire.TransactionStatus;

/** Carries the answer to one attempt from the backend's event loop to the caller's. */
final class BatchExchange implements ExchangeListener {
  private final BatchExecution execution;
  private final BackendConnection connection;
  private final ServerPool pool;
  private final AnswerRelay relay;
  private final EventLoop callerLoop;
  private Optional<GroupPosition> position = Optional.empty();

  private BatchExchange(
      BatchExecution execution,
      BackendConnection connection,
      ServerPool pool,
      AnswerRelay relay,
      EventLoop callerLoop) {
    this.execution = execution;
    this.connection = connection;
    this.pool = pool;
    this.relay = relay;
    this.callerLoop = callerLoop;
  }

  static BatchExchange of(
      BatchExecution execution,
      BackendConnection connection,
      ServerPool pool,
      AnswerRelay relay,
      EventLoop callerLoop) {
    return new BatchExchange(execution, connection, pool, relay, callerLoop);
  }

  void start(StatementBatch batch, Optional<SessionSettings> settings, boolean asksPosition) {
    List<Frame> frames = new ArrayList<>(batch.retainedFrames());
    connection.exchange(settings, frames, asksPosition, this);
  }

  AnswerRelay relay() {
    return relay;
  }

  Optional<GroupPosition> position() {
    return position;
  }

  void releaseConnection() {
    pool.release(connection, true);
  }

  CallerState.Transaction toTransaction(StatementKind kind) {
    return new CallerState.Transaction(connection, pool, kind);
  }

  @Override
  public void onFrame(Frame frame) {
    onCallerLoop(() -> accept(frame));
  }

  @Override
  public void onReadComplete() {
    onCallerLoop(relay::flush);
  }

  @Override
  public void onFinished(TransactionStatus status, Optional<GroupPosition> written) {
    onCallerLoop(
        () -> {
          position = written;
          execution.answered(this, status);
        });
  }

  @Override
  public void onLost(String reason) {
    onCallerLoop(
        () -> {
          pool.release(connection, false);
          execution.lost(this);
        });
  }

  private void accept(Frame frame) {
    relay.accept(frame);
    if (relay.isOverLimit()) {
      connection.close();
    }
  }

  private void onCallerLoop(Runnable action) {
    if (callerLoop.inEventLoop()) {
      action.run();
    } else {
      callerLoop.execute(action);
    }
  }
}
