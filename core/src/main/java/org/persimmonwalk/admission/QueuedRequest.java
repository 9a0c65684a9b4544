package org.persimmonwalk.admission;

import java.util.Objects;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.routing.StatementKind;

/**
 * A statement that waits for a backend server. Queues compare requests by identity, because two
 * callers may send equal statements.
 *
 * @param payload what the traffic thread needs to run the statement
 * @param workspace the workspace that the statement runs for
 * @param kind whether the statement only reads
 * @param urgency how soon the statement has to run
 * @param deadline when the caller gives up
 * @param <T> the type of the payload
 */
public record QueuedRequest<T>(
    T payload, WorkspaceId workspace, StatementKind kind, Urgency urgency, MonotonicTime deadline) {

  /** Checks that all parts are present. */
  public QueuedRequest {
    Objects.requireNonNull(payload, "payload");
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(urgency, "urgency");
    Objects.requireNonNull(deadline, "deadline");
  }
}
