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
 * The place of one statement in the queue of a backend server. It moves the queue's answer to the
 * event loop of the caller.
 */
final class ConnectionTicket implements ConnectionWaiter {
  private final ServerQueue queue;
  private final StatementRequest request;
  private final EventLoop loop;
  private final Owner owner;
  private final QueuedRequest<ConnectionWaiter> queued;
  private Optional<ScheduledFuture<?>> timer = Optional.empty();
  private Optional<MonotonicClock> clock = Optional.empty();
  private MonotonicTime grantedAt;

  private ConnectionTicket(
      ServerQueue queue, StatementRequest request, Urgency urgency, EventLoop loop, Owner owner) {
    this.queue = queue;
    this.request = request;
    this.loop = loop;
    this.owner = owner;
    this.grantedAt = request.arrivedAt();
    this.queued =
        new QueuedRequest<>(this, request.workspace(), request.kind(), urgency, request.deadline());
  }

  static ConnectionTicket of(
      ServerQueue queue, StatementRequest request, Urgency urgency, EventLoop loop, Owner owner) {
    return new ConnectionTicket(queue, request, urgency, loop, owner);
  }

  /** The statement that waits; called on the event loop of its caller. */
  interface Owner {

    /** Takes a connection. */
    void granted(ConnectionTicket ticket, BackendConnection connection);

    /** Takes note that the statement has not run and why. */
    void refused(ResultCode code);
  }

  /** Queues the statement until its deadline. */
  void submit(MonotonicClock timeSource) {
    clock = Optional.of(timeSource);
    Duration patience = request.deadline().since(timeSource.now());
    timer = Optional.of(loop.schedule(this::giveUp, patience.toNanos(), TimeUnit.NANOSECONDS));
    queue.submit(queued);
  }

  /** Leaves the queue. */
  void withdraw() {
    stopTimer();
    queue.withdraw(queued);
  }

  /** Takes note that the server has answered, or that the connection was lost. */
  void end(boolean succeeded) {
    queue.complete(queued, now().since(grantedAt), succeeded);
  }

  /** Returns a connection that nothing was sent on. */
  void giveBack(BackendConnection connection) {
    queue.pool().release(connection, true);
    end(false);
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
          owner.granted(this, connection);
        });
  }

  @Override
  public void refused(ResultCode code) {
    loop.execute(
        () -> {
          stopTimer();
          if (code == ResultCode.NO_CONNECTION) {
            end(false);
          }
          owner.refused(code);
        });
  }

  private void giveUp() {
    if (queue.withdraw(queued)) {
      owner.refused(ResultCode.DEADLINE_UNREACHABLE);
    }
  }

  private void stopTimer() {
    timer.ifPresent(scheduled -> scheduled.cancel(false));
  }

  private MonotonicTime now() {
    return clock.map(MonotonicClock::now).orElse(grantedAt);
  }
}
