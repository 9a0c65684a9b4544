package org.persimmonwalk.internal.traffic.backend;

import io.netty.util.concurrent.EventExecutorGroup;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.persimmonwalk.admission.QueuedRequest;
import org.persimmonwalk.admission.RefusedRequest;
import org.persimmonwalk.admission.SchedulerStep;
import org.persimmonwalk.admission.ServerScheduler;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.result.ResultCode;

/**
 * Grants statements their connections to one backend server, in the order and at the rate that the
 * scheduler decides. Thread-safe.
 */
public final class ServerQueue {
  private final ServerScheduler<ConnectionWaiter> scheduler;
  private final ServerPool pool;
  private final MonotonicClock clock;
  private final EventExecutorGroup timers;

  private ServerQueue(
      ServerScheduler<ConnectionWaiter> scheduler,
      ServerPool pool,
      MonotonicClock clock,
      EventExecutorGroup timers) {
    this.scheduler = scheduler;
    this.pool = pool;
    this.clock = clock;
    this.timers = timers;
  }

  static ServerQueue of(
      ServerScheduler<ConnectionWaiter> scheduler,
      ServerPool pool,
      MonotonicClock clock,
      EventExecutorGroup timers) {
    return new ServerQueue(scheduler, pool, clock, timers);
  }

  /** Returns the pool behind the queue. */
  public ServerPool pool() {
    return pool;
  }

  /** Queues a statement; its payload is granted a connection or refused. */
  public void submit(QueuedRequest<ConnectionWaiter> request) {
    apply(scheduler.submit(request, clock.now()));
  }

  /**
   * Reports the end of a statement that was granted a connection. This does not release the
   * connection.
   *
   * @param duration the time from the sending to the end of the answer
   * @param succeeded whether the server answered
   */
  public void complete(
      QueuedRequest<ConnectionWaiter> request, Duration duration, boolean succeeded) {
    apply(scheduler.complete(request, duration, succeeded, clock.now()));
  }

  /** Cancels a statement and returns whether it was still waiting for a connection. */
  public boolean cancel(QueuedRequest<ConnectionWaiter> request) {
    if (scheduler.cancel(request)) {
      return true;
    }
    boolean waited = pool.cancel(request.payload());
    if (waited) {
      complete(request, Duration.ZERO, false);
    }
    return waited;
  }

  private void apply(SchedulerStep<ConnectionWaiter> step) {
    step.refused().forEach(ServerQueue::refuse);
    step.started().forEach(request -> pool.acquire(request.payload()));
    step.wakeAt().ifPresent(this::wakeAt);
  }

  private static void refuse(RefusedRequest<ConnectionWaiter> refused) {
    ResultCode code = refused.code();
    refused.request().payload().refused(code);
  }

  private void wakeAt(MonotonicTime time) {
    long delay = Math.max(0, time.since(clock.now()).toNanos());
    timers
        .next()
        .schedule(() -> apply(scheduler.advance(clock.now())), delay, TimeUnit.NANOSECONDS);
  }
}
