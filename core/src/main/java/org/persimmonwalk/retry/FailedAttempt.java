package org.persimmonwalk.retry;

import java.util.Objects;
import org.persimmonwalk.result.StatementState;
import org.persimmonwalk.routing.StatementKind;

/**
 * A statement that failed before its answer began to reach the caller.
 *
 * @param kind whether the statement only reads
 * @param state whether the statement ran
 * @param idempotent whether the caller gave an idempotency key
 * @param attempts how often the statement was sent to a backend server
 */
public record FailedAttempt(
    StatementKind kind, StatementState state, boolean idempotent, int attempts) {

  /** Checks that all parts are present. */
  public FailedAttempt {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(state, "state");
  }
}
