package org.persimmonwalk.admission;

import java.util.List;
import java.util.Optional;
import org.persimmonwalk.model.MonotonicTime;

/**
 * A bounded queue of statements in front of one backend server. A request leaves the queue exactly
 * once: as the next one to start, as refused, or as removed. Implementations are not safe for use
 * by several threads; {@link ServerScheduler} guards them with its lock.
 *
 * @param <T> the type of the payload
 */
public interface RequestQueue<T> {

  /** Adds a request and returns the requests, possibly this one, that are refused for it. */
  List<RefusedRequest<T>> offer(QueuedRequest<T> request, MonotonicTime now);

  /** Takes the next request to start, and those whose deadline has passed. */
  PollResult<T> poll(MonotonicTime now);

  /**
   * Takes the next request of a workspace that has used less than its share, and those whose
   * deadline has passed. Such a request may start although the host has reached its limit.
   */
  PollResult<T> pollInsideShare(MonotonicTime now);

  /** Takes the requests whose deadline has passed. */
  List<RefusedRequest<T>> expire(MonotonicTime now);

  /** Removes the request of a caller that has cancelled it; returns whether it still waited. */
  boolean remove(QueuedRequest<T> request);

  /** Returns the earliest deadline of the requests that wait. */
  Optional<MonotonicTime> earliestDeadline();

  /** Returns the number of requests that wait. */
  int size();
}
