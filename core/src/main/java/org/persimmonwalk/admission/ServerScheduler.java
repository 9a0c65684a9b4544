package org.persimmonwalk.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The queue and the concurrency limit of this host for one backend server. Every request that is
 * submitted is started, refused or cancelled exactly once, and a started one is completed. Safe for
 * use by several threads; a call never blocks for longer than another call takes.
 *
 * @param <T> the type of the payload
 */
public final class ServerScheduler<T> {
  /**
   * Statements beyond the limit that may be outstanding for workspaces inside their share, so that
   * they do not wait behind a heavy statement of a workspace above its share.
   */
  private static final int RESERVE = 2;

  /**
   * How far starts inside the share may run ahead of the spacing. It bounds the time for which they
   * keep all other workspaces from starting.
   */
  private static final Duration MAXIMUM_ADVANCE = Duration.ofSeconds(1);

  private final RequestQueue<T> queue;
  private final ConcurrencyLimit limit;
  private final ServiceTimes serviceTimes;
  private final Set<QueuedRequest<T>> running = Collections.newSetFromMap(new IdentityHashMap<>());
  private Optional<MonotonicTime> nextStart = Optional.empty();

  private ServerScheduler(
      RequestQueue<T> queue, ConcurrencyLimit limit, ServiceTimes serviceTimes) {
    this.queue = queue;
    this.limit = limit;
    this.serviceTimes = serviceTimes;
  }

  /** Returns a scheduler that owns the given queue, limit and service times from now on. */
  public static <T> ServerScheduler<T> of(
      RequestQueue<T> queue, ConcurrencyLimit limit, ServiceTimes serviceTimes) {
    return new ServerScheduler<>(queue, limit, serviceTimes);
  }

  /** Adds a request. */
  public synchronized SchedulerStep<T> submit(QueuedRequest<T> request, MonotonicTime now) {
    return step(new ArrayList<>(queue.offer(request, now)), now);
  }

  /**
   * Takes note that a started request has ended. A second call for the same request has no effect.
   *
   * @param duration the time from its start to the end of the answer
   * @param succeeded whether the server answered; the duration of a failure is not a measurement
   */
  public synchronized SchedulerStep<T> complete(
      QueuedRequest<T> request, Duration duration, boolean succeeded, MonotonicTime now) {
    if (running.remove(request) && succeeded) {
      serviceTimes.record(request, duration, now);
      limit.record(duration, serviceTimes.minimum(request), queue.size() > 0);
    }
    return step(new ArrayList<>(), now);
  }

  /** Starts or refuses what the passing of time allows. */
  public synchronized SchedulerStep<T> advance(MonotonicTime now) {
    return step(new ArrayList<>(), now);
  }

  /**
   * Withdraws a request that has not been started.
   *
   * @return whether it was withdrawn; if not it has been started or refused before
   */
  public synchronized boolean cancel(QueuedRequest<T> request) {
    return queue.remove(request);
  }

  /** Returns the number of requests that run or wait. */
  public synchronized int outstanding() {
    return running.size() + queue.size();
  }

  private SchedulerStep<T> step(List<RefusedRequest<T>> refused, MonotonicTime now) {
    List<QueuedRequest<T>> started = new ArrayList<>();
    refused.addAll(queue.expire(now));
    boolean progress = true;
    while (progress && queue.size() > 0 && running.size() < limit.limit() + RESERVE) {
      PollResult<T> result = pollAllowed(now);
      refused.addAll(result.refused());
      result.next().ifPresent(request -> started.add(start(request, now)));
      progress = result.next().isPresent();
    }
    return new SchedulerStep<>(started, refused, wakeAt(now));
  }

  private PollResult<T> pollAllowed(MonotonicTime now) {
    Duration advance = nextStart.map(time -> time.since(now)).orElse(Duration.ZERO);
    if (running.size() < limit.limit() && advance.compareTo(Duration.ZERO) <= 0) {
      return queue.poll(now);
    }
    return advance.compareTo(MAXIMUM_ADVANCE) <= 0
        ? queue.pollInsideShare(now)
        : new PollResult<>(Optional.empty(), List.of());
  }

  private QueuedRequest<T> start(QueuedRequest<T> request, MonotonicTime now) {
    running.add(request);
    Duration spacing = limit.spacing(serviceTimes.expected(request, now));
    nextStart = Optional.of(nextStart.filter(now::isBefore).orElse(now).plus(spacing));
    return request;
  }

  /** Returns the earliest of the next start, the next start inside the share and a deadline. */
  private Optional<MonotonicTime> wakeAt(MonotonicTime now) {
    if (queue.size() == 0) {
      return Optional.empty();
    }
    Stream<MonotonicTime> starts =
        Stream.concat(
            nextStart.filter(time -> running.size() < limit.limit()).stream(),
            nextStart
                .filter(time -> running.size() < limit.limit() + RESERVE)
                .map(time -> time.minus(MAXIMUM_ADVANCE))
                .stream());
    return Stream.concat(starts.filter(now::isBefore), queue.earliestDeadline().stream())
        .min(MonotonicTime::compareTo);
  }
}
