package org.persimmonwalk.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Starts requests in the order of their arrival, whatever their workspace. Benchmarks use it as the
 * baseline for {@link FairQueue}.
 *
 * @param <T> the type of the payload
 */
public final class FirstInFirstOutQueue<T> implements RequestQueue<T> {
  private final ArrayDeque<QueuedRequest<T>> waiting = new ArrayDeque<>();
  private final int capacity;

  private FirstInFirstOutQueue(int capacity) {
    this.capacity = capacity;
  }

  /** Returns an empty queue that holds at most the given number of requests. */
  public static <T> FirstInFirstOutQueue<T> of(int capacity) {
    return new FirstInFirstOutQueue<>(capacity);
  }

  @Override
  public List<RefusedRequest<T>> offer(QueuedRequest<T> request, MonotonicTime now) {
    if (waiting.size() >= capacity) {
      return List.of(RefusedRequest.queueFull(request));
    }
    waiting.add(request);
    return List.of();
  }

  @Override
  public PollResult<T> poll(MonotonicTime now) {
    List<RefusedRequest<T>> refused = expire(now);
    return new PollResult<>(Optional.ofNullable(waiting.poll()), refused);
  }

  @Override
  public PollResult<T> pollBelowShare(MonotonicTime now) {
    return new PollResult<>(Optional.empty(), expire(now));
  }

  @Override
  public List<RefusedRequest<T>> expire(MonotonicTime now) {
    List<RefusedRequest<T>> refused = new ArrayList<>();
    for (Iterator<QueuedRequest<T>> iterator = waiting.iterator(); iterator.hasNext(); ) {
      QueuedRequest<T> request = iterator.next();
      if (!now.isBefore(request.deadline())) {
        iterator.remove();
        refused.add(RefusedRequest.deadlineUnreachable(request));
      }
    }
    return refused;
  }

  @Override
  public boolean remove(QueuedRequest<T> request) {
    return waiting.removeIf(candidate -> candidate == request);
  }

  @Override
  public Optional<MonotonicTime> earliestDeadline() {
    return waiting.stream().map(QueuedRequest::deadline).min(MonotonicTime::compareTo);
  }

  @Override
  public int size() {
    return waiting.size();
  }
}
