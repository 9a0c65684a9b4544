package org.persimmonwalk.internal.traffic.caller;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.persimmonwalk.admission.QueuedRequest;
import org.persimmonwalk.admission.Urgency;
import org.persimmonwalk.internal.traffic.backend.BackendConnection;
import org.persimmonwalk.internal.traffic.backend.ConnectionWaiter;
import org.persimmonwalk.internal.traffic.backend.ServerPool;
import org.persimmonwalk.internal.traffic.backend.ServerQueue;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.request.StatementRequest;
import org.persimmonwalk.result.ResultCode;

/**
 * The request of one statement for a connection, in the queue of a backend server. The result is
 * passed to the listener on the event loop of the caller.
 */
final class ConnectionRequest implements ConnectionWaiter {
  private final ServerQueue queue;
  private final StatementRequest request;
  private final EventLoop loop;
  private final Listener listener;
  private final QueuedRequest<ConnectionWaiter> queued;
  private Optional<ScheduledFuture<?>> timer = Optional.empty();
  private Optional<MonotonicClock> clock = Optional.empty();
  private MonotonicTime grantedAt;

  private ConnectionRequest(
      ServerQueue queue,
      StatementRequest request,
      Urgency urgency,
      EventLoop loop,
      Listener listener) {
    this.queue = queue;
    this.request = request;
    this.loop = loop;
    this.listener = listener;
    this.grantedAt = request.arrivedAt();
    this.queued =
        new QueuedRequest<>(this, request.workspace(), request.kind(), urgency, request.deadline());
  }

  static ConnectionRequest of(
      ServerQueue queue,
      StatementRequest request,
      Urgency urgency,
      EventLoop loop,
      Listener listener) {
    return new ConnectionRequest(queue, request, urgency, loop, listener);
  }

  /** Receives the result of the request, on the event loop of the caller. */
  interface Listener {

    /** The statement has a connection, which the listener must release. */
    void granted(ConnectionRequest connectionRequest, BackendConnection connection);

    /** No connection was granted; the statement has not run. */
    void refused(ResultCode code);
  }

  /** Queues the request until the deadline of the statement. */
  void submit(MonotonicClock timeSource) {
    clock = Optional.of(timeSource);
    Duration timeout = request.deadline().since(timeSource.now());
    timer = Optional.of(loop.schedule(this::expire, timeout.toNanos(), TimeUnit.NANOSECONDS));
    queue.submit(queued);
  }

  /** Removes the request from the queue. */
  void cancel() {
    stopTimer();
    queue.cancel(queued);
  }

  /**
   * Ends the request after it was granted.
   *
   * @param succeeded whether the server answered; false if the connection was lost or not used
   */
  void complete(boolean succeeded) {
    queue.complete(queued, now().since(grantedAt), succeeded);
  }

  /** Releases a granted connection on which nothing was sent. */
  void releaseUnused(BackendConnection connection) {
    queue.pool().release(connection, true);
    complete(false);
  }

  ServerPool pool() {
    return queue.pool();
  }

  @Override
  public void granted(BackendConnection connection) {
    loop.execute(
        () -> {
          stopTimer();
          grantedAt = now();
          listener.granted(this, connection);
        });
  }

  @Override
  public void refused(ResultCode code) {
    loop.execute(
        () -> {
          stopTimer();
          if (code == ResultCode.NO_CONNECTION) {
            complete(false);
          }
          listener.refused(code);
        });
  }

  private void expire() {
    if (queue.cancel(queued)) {
      listener.refused(ResultCode.DEADLINE_UNREACHABLE);
    }
  }

  private void stopTimer() {
    timer.ifPresent(scheduled -> scheduled.cancel(false));
  }

  private MonotonicTime now() {
    return clock.map(MonotonicClock::now).orElse(grantedAt);
  }
}
