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
 * Starts this host's statements at one backend server, in the order of a {@link RequestQueue} and
 * within a {@link ConcurrencyLimit}. Every submitted request is started, refused or cancelled
 * exactly once; the caller has to complete each started one. Thread-safe; a call waits at most for
 * other calls to finish, never for the server.
 *
 * @param <T> the type of the payload
 */
public final class ServerScheduler<T> {
  /**
   * Slots beyond the limit for workspaces below their share, so that their statements do not wait
   * behind a heavy statement of a workspace above its share.
   */
  private static final int RESERVED_SLOTS = 2;

  /**
   * How long before the next spaced start a workspace below its share may start a statement. Each
   * such start delays all other workspaces, and this bounds the delay.
   */
  private static final Duration MAXIMUM_EARLY_START = Duration.ofSeconds(1);

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

  /** Queues a request and starts what the limit allows. */
  public synchronized SchedulerStep<T> submit(QueuedRequest<T> request, MonotonicTime now) {
    return step(new ArrayList<>(queue.offer(request, now)), now);
  }

  /**
   * Reports the end of a started request. A second call for the same request is ignored.
   *
   * @param duration the time from its start to the end of the answer
   * @param succeeded whether the server answered; the duration of a failed request is not recorded
   */
  public synchronized SchedulerStep<T> complete(
      QueuedRequest<T> request, Duration duration, boolean succeeded, MonotonicTime now) {
    if (running.remove(request) && succeeded) {
      serviceTimes.record(request, duration, now);
      limit.record(duration, serviceTimes.minimum(request), queue.size() > 0);
    }
    return step(new ArrayList<>(), now);
  }

  /** Starts requests whose spacing is over and refuses those whose deadline has passed. */
  public synchronized SchedulerStep<T> advance(MonotonicTime now) {
    return step(new ArrayList<>(), now);
  }

  /**
   * Removes a request that has not been started.
   *
   * @return whether it was removed; if not, it has already been started or refused
   */
  public synchronized boolean cancel(QueuedRequest<T> request) {
    return queue.remove(request);
  }

  /** Returns the number of requests that are running or waiting. */
  public synchronized int outstanding() {
    return running.size() + queue.size();
  }

  private SchedulerStep<T> step(List<RefusedRequest<T>> refused, MonotonicTime now) {
    List<QueuedRequest<T>> started = new ArrayList<>();
    refused.addAll(queue.expire(now));
    boolean progress = true;
    while (progress && queue.size() > 0 && running.size() < limit.limit() + RESERVED_SLOTS) {
      PollResult<T> result = pollAllowed(now);
      refused.addAll(result.refused());
      result.next().ifPresent(request -> started.add(start(request, now)));
      progress = result.next().isPresent();
    }
    return new SchedulerStep<>(started, refused, wakeAt(now));
  }

  private PollResult<T> pollAllowed(MonotonicTime now) {
    Duration untilNextStart = nextStart.map(time -> time.since(now)).orElse(Duration.ZERO);
    if (running.size() < limit.limit() && untilNextStart.compareTo(Duration.ZERO) <= 0) {
      return queue.poll(now);
    }
    return untilNextStart.compareTo(MAXIMUM_EARLY_START) <= 0
        ? queue.pollBelowShare(now)
        : new PollResult<>(Optional.empty(), List.of());
  }

  private QueuedRequest<T> start(QueuedRequest<T> request, MonotonicTime now) {
    running.add(request);
    Duration spacing = limit.spacing(serviceTimes.expected(request, now));
    nextStart = Optional.of(nextStart.filter(now::isBefore).orElse(now).plus(spacing));
    return request;
  }

  /**
   * Returns the earliest of the next spaced start, the next early start of a workspace below its
   * share, and the earliest deadline.
   */
  private Optional<MonotonicTime> wakeAt(MonotonicTime now) {
    if (queue.size() == 0) {
      return Optional.empty();
    }
    Stream<MonotonicTime> starts =
        Stream.concat(
            nextStart.filter(time -> running.size() < limit.limit()).stream(),
            nextStart
                .filter(time -> running.size() < limit.limit() + RESERVED_SLOTS)
                .map(time -> time.minus(MAXIMUM_EARLY_START))
                .stream());
    return Stream.concat(starts.filter(now::isBefore), queue.earliestDeadline().stream())
        .min(MonotonicTime::compareTo);
  }
}
