package org.persimmonwalk.admission;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The requests that one poll removes from a {@link RequestQueue}.
 *
 * @param next the request to start now, if there is one
 * @param refused the requests that can no longer meet their deadline
 * @param <T> the type of the payload
 */
public record PollResult<T>(Optional<QueuedRequest<T>> next, List<RefusedRequest<T>> refused) {

  /** Copies the list. */
  public PollResult {
    Objects.requireNonNull(next, "next");
    refused = List.copyOf(refused);
  }
}
