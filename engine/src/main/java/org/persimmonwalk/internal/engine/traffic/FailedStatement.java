package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.Set;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.id.BackendServerId;

/**
 * A statement that was answered with a failure, for the log.
 *
 * @param servers the servers that were tried
 * @param age the time since the arrival of the operation
 */
record FailedStatement(
    ExecutionRequest request,
    Failure failure,
    int attempts,
    Set<BackendServerId> servers,
    Duration age) {

  void write(DecisionLog log) {
    log.write(
        "statement-failed",
        "request",
        request.id(),
        "group",
        request.group(),
        "code",
        failure.code(),
        "attempts",
        attempts,
        "servers",
        servers,
        "ageMs",
        age.toMillis(),
        "detail",
        failure.detail());
  }
}
