package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.model.MonotonicTime;

/** Records what the answers to one request tell of the servers that gave them. */
final class AnswerRecorder {
  private final ServerPools pools;
  private final ExecutionRequest request;
  private final FailedReads failedReads = new FailedReads();

  AnswerRecorder(ServerPools pools, ExecutionRequest request) {
    this.pools = pools;
    this.request = request;
  }

  void recordSuccess(
      PooledConnection used,
      boolean onPrimary,
      Answer answer,
      MonotonicTime sentAt,
      MonotonicTime now) {
    Duration latency = now.since(sentAt);
    used.pool().recordSuccess(sentAt, now);
    pools.urgency().recordAnswer(used.server(), request.route(), latency);
    if (!request.begins()) {
      pools.recordLatency(request.route(), latency);
    }
    failedReads.repetitionSucceeded();
    if (onPrimary) {
      answer.position().ifPresent(position -> pools.positionSeen(used.server(), position, sentAt));
    }
  }

  void recordFailure(
      PooledConnection used, FailureCode code, MonotonicTime sentAt, MonotonicTime now) {
    if (code == FailureCode.BEHIND) {
      used.pool().health().recordBehind(now);
    }
    if (code == FailureCode.OVERLOADED && !pools.coldServers().isCold(used.server())) {
      pools.urgency().recordFullQueue(used.server());
    }
    if (code == FailureCode.OVERLOADED && !request.writes()) {
      used.pool().recordRefusal(sentAt);
    }
    if (isFailedRead(code)) {
      used.pool().health().recordReadFailure(now);
      failedReads.add(used.pool(), sentAt);
    }
  }

  /** Returns whether the request may be sent again: it did not run, or only reads. */
  boolean isRepeatable(FailureCode code) {
    return code.guaranteesNoEffect() || code == FailureCode.UNKNOWN_NAME || isFailedRead(code);
  }

  private boolean isFailedRead(FailureCode code) {
    return code == FailureCode.FAILED && !request.writes();
  }
}
