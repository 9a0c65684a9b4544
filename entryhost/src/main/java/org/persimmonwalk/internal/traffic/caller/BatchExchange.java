package org.persimmonwalk.internal.traffic.caller;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import org.persimmonwalk.internal.traffic.backend.BackendConnection;
import org.persimmonwalk.internal.traffic.backend.ExchangeListener;
import org.persimmonwalk.internal.traffic.backend.ExchangePlan;
import org.persimmonwalk.internal.traffic.backend.ExchangeResult;
import org.persimmonwalk.internal.traffic.backend.ServerPool;
import org.persimmonwalk.routing.StatementKind;
import org.persimmonwalk.wire.Frame;

/**
 * Moves the answer to one attempt at a batch from the event loop of the backend connection to that
 * of the caller.
 */
final class BatchExchange implements ExchangeListener {
  private final BatchExecution execution;
  private final BackendConnection connection;
  private final ServerPool pool;
  private final AnswerRelay relay;
  private final EventLoop callerLoop;
  private Consumer<Boolean> ended = succeeded -> {};

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

  /**
   * Sends the request.
   *
   * @param whenEnded receives whether the server answered, before the execution is notified
   */
  void start(ExchangePlan plan, Consumer<Boolean> whenEnded) {
    ended = whenEnded;
    connection.exchange(plan, this);
  }

  AnswerRelay relay() {
    return relay;
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
  public void onFinished(ExchangeResult result) {
    onCallerLoop(
        () -> {
          ended.accept(true);
          execution.answered(this, result);
        });
  }

  @Override
  public void onLost(String reason) {
    onCallerLoop(
        () -> {
          ended.accept(false);
          pool.release(connection, false);
          execution.lost(relay);
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
