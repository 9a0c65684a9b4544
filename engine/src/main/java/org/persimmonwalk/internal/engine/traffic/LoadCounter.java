package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import org.persimmonwalk.engine.control.ServerLoad;
import org.persimmonwalk.id.BackendServerId;

/** Counts what this host sees of a server between two reports. */
final class LoadCounter {
  private int answers;
  private long latencyNanos;
  private int failures;

  void recordAnswer(Duration latency) {
    answers++;
    latencyNanos += latency.toNanos();
  }

  void recordFailure() {
    failures++;
  }

  boolean isUsed() {
    return answers > 0 || failures > 0;
  }

  /** Returns what was counted since the last call, and begins anew. */
  ServerLoad take(BackendServerId server, int outstanding) {
    ServerLoad load =
        new ServerLoad(server, outstanding, answers, Duration.ofNanos(latencyNanos), failures, 1);
    answers = 0;
    latencyNanos = 0;
    failures = 0;
    return load;
  }
}
