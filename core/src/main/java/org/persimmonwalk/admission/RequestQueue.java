package org.persimmonwalk.admission;

import java.util.List;
import java.util.Optional;
import org.persimmonwalk.model.MonotonicTime;

/**
 * A bounded queue of statements in front of one backend server. A request leaves the queue exactly
 * once: it is started, refused or removed. Implementations are not thread-safe; {@link
 * ServerScheduler} calls them while it holds its lock.
 *
 * @param <T> the type of the payload
 */
public interface RequestQueue<T> {

  /**
   * Adds a request.
   *
   * @return the requests that are refused because of it, possibly the request itself
   */
  List<RefusedRequest<T>> offer(QueuedRequest<T> request, MonotonicTime now);

  /** Removes the next request to start, and the requests that can no longer meet their deadline. */
  PollResult<T> poll(MonotonicTime now);

  /**
   * Removes the next request of a workspace that has used less than its share, and the requests
   * that can no longer meet their deadline. Such a request may start although the host has reached
   * its concurrency limit.
   */
  PollResult<T> pollBelowShare(MonotonicTime now);

  /** Removes and returns the requests whose deadline has passed. */
  List<RefusedRequest<T>> expire(MonotonicTime now);

  /** Removes a request that its caller has cancelled; returns whether it was still waiting. */
  boolean remove(QueuedRequest<T> request);

  /** Returns the earliest deadline of the waiting requests; empty if none waits. */
  Optional<MonotonicTime> earliestDeadline();

  /** Returns the number of waiting requests. */
  int size();
}
