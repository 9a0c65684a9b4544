package org.persimmonwalk.request;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.IdempotencyKey;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.routing.MinimumPosition;
import org.persimmonwalk.routing.StatementKind;

/**
 * A statement or a group of statements that a caller sent as one unit.
 *
 * @param workspace the caller's workspace
 * @param key the hash of the key that the caller presented, if any
 * @param group the database group that the statement is for
 * @param kind whether the statement only reads
 * @param minimumPosition the position that the session's reads must see
 * @param maximumAge the maximum age of the data that the caller accepts, if it has stated one
 * @param idempotencyKey the key that lets the caller safely repeat the statement, if it gave one
 * @param arrivedAt when the statement arrived
 * @param deadline the time by which the statement must have started
 */
public record StatementRequest(
    WorkspaceId workspace,
    Optional<KeyHash> key,
    DatabaseGroupId group,
    StatementKind kind,
    MinimumPosition minimumPosition,
    Optional<Duration> maximumAge,
    Optional<IdempotencyKey> idempotencyKey,
    MonotonicTime arrivedAt,
    MonotonicTime deadline) {

  /** Checks that all parts are present. */
  public StatementRequest {
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(group, "group");
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(minimumPosition, "minimumPosition");
    Objects.requireNonNull(maximumAge, "maximumAge");
    Objects.requireNonNull(idempotencyKey, "idempotencyKey");
    Objects.requireNonNull(arrivedAt, "arrivedAt");
    Objects.requireNonNull(deadline, "deadline");
  }

  /** Returns a copy of this request as a write, which only the primary runs. */
  public StatementRequest asWrite() {
    return new StatementRequest(
        workspace,
        key,
        group,
        StatementKind.WRITE,
        minimumPosition,
        maximumAge,
        idempotencyKey,
        arrivedAt,
        deadline);
  }
}
