package org.persimmonwalk.admission;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * What leaves a queue at one poll.
 *
 * @param next the request to start now
 * @param refused the requests whose deadline cannot be met any more
 * @param <T> the type of the payload
 */
public record PollResult<T>(Optional<QueuedRequest<T>> next, List<RefusedRequest<T>> refused) {

  /** Copies the list. */
  public PollResult {
    Objects.requireNonNull(next, "next");
    refused = List.copyOf(refused);
  }
}
