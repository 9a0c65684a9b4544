package org.persimmonwalk.admission;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The actions that the calling thread must take after a call to a {@link ServerScheduler}.
 *
 * @param started the requests to send to the backend server now
 * @param refused the requests to refuse to their callers
 * @param wakeAt when to call {@link ServerScheduler#advance} unless another call comes first
 * @param <T> the type of the payload
 */
public record SchedulerStep<T>(
    List<QueuedRequest<T>> started,
    List<RefusedRequest<T>> refused,
    Optional<MonotonicTime> wakeAt) {

  /** Copies the lists. */
  public SchedulerStep {
    started = List.copyOf(started);
    refused = List.copyOf(refused);
    Objects.requireNonNull(wakeAt, "wakeAt");
  }
}
