package org.persimmonwalk.retry;

import java.util.Objects;
import org.persimmonwalk.result.StatementState;
import org.persimmonwalk.routing.StatementKind;

/**
 * A statement that failed before any part of its answer was sent to the caller.
 *
 * @param kind whether the statement only reads
 * @param state whether the statement ran, as far as this host knows
 * @param idempotent whether the caller gave an idempotency key
 * @param attempts how many times the statement was sent to a backend server
 */
public record FailedAttempt(
    StatementKind kind, StatementState state, boolean idempotent, int attempts) {

  /** Checks that all parts are present. */
  public FailedAttempt {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(state, "state");
  }
}
