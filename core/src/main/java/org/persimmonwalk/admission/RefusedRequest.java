package org.persimmonwalk.admission;

import java.util.Objects;
import org.persimmonwalk.result.ResultCode;

/**
 * A request that was removed from the queue without being started; it will never run.
 *
 * @param request the request
 * @param code why it was refused
 * @param <T> the type of the payload
 */
public record RefusedRequest<T>(QueuedRequest<T> request, ResultCode code) {

  /** Checks that all parts are present. */
  public RefusedRequest {
    Objects.requireNonNull(request, "request");
    Objects.requireNonNull(code, "code");
  }

  /** Returns a refusal because the queue is at its capacity. */
  static <T> RefusedRequest<T> queueFull(QueuedRequest<T> request) {
    return new RefusedRequest<>(request, ResultCode.QUEUE_FULL);
  }

  /** Returns a refusal because the request cannot be answered before its deadline. */
  static <T> RefusedRequest<T> deadlineUnreachable(QueuedRequest<T> request) {
    return new RefusedRequest<>(request, ResultCode.DEADLINE_UNREACHABLE);
  }
}
