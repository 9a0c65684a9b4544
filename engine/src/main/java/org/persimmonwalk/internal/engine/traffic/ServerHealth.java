package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Latency and failures of one backend server as seen by this host. Used to choose servers for
 * reads, to back off from failing servers and to detect unresponsive ones.
 */
final class ServerHealth {
  /** A server that leaves requests unanswered for this long is treated as unreachable. */
  static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(700);

  /**
   * Backoff after a failed connection or read; also how long a server that lacked a position counts
   * as behind.
   */
  static final Duration BACKOFF = Duration.ofMillis(250);

  /** Backoff after the server refused a connection because it has none left. */
  static final Duration FULL_SERVER_BACKOFF = Duration.ofMillis(300);

  /** Connection failures further apart than this do not belong to the same outage. */
  static final Duration OUTAGE_GAP = Duration.ofMillis(1500);

  private static final double INITIAL_LATENCY_MILLIS = 15;

  private final LatencyAverage latency;
  private MonotonicTime backoffUntil;
  private MonotonicTime behindUntil;
  private MonotonicTime unansweredSince;
  private MonotonicTime failingSince;
  private MonotonicTime lastFailure;

  ServerHealth(MonotonicTime now) {
    this.latency = new LatencyAverage(INITIAL_LATENCY_MILLIS, now);
    this.backoffUntil = now;
    this.behindUntil = now;
  }

  void recordLatency(Duration measured, MonotonicTime now) {
    latency.add(measured, now);
    recordResponse();
  }

  double latencyMillis(MonotonicTime now) {
    return latency.millis(now);
  }

  void recordRequest(MonotonicTime now) {
    if (unansweredSince == null) {
      unansweredSince = now;
    }
  }

  void recordResponse() {
    unansweredSince = null;
    failingSince = null;
  }

  /** Stops the response timeout: no request is outstanding. */
  void clearUnanswered() {
    unansweredSince = null;
  }

  void recordConnectionFailure(MonotonicTime now) {
    if (failingSince == null || now.since(lastFailure).compareTo(OUTAGE_GAP) > 0) {
      failingSince = now;
    }
    lastFailure = now;
    backoffUntil = now.plus(BACKOFF);
  }

  void recordFullServer(MonotonicTime now) {
    recordResponse();
    backoffUntil = now.plus(FULL_SERVER_BACKOFF);
  }

  /** Backs off from a server that failed a read; its connections stay usable. */
  void recordReadFailure(MonotonicTime now) {
    backoffUntil = now.plus(BACKOFF);
  }

  void recordBehind(MonotonicTime now) {
    behindUntil = now.plus(BACKOFF);
  }

  boolean isBehind(MonotonicTime now) {
    return now.isBefore(behindUntil);
  }

  boolean isBackingOff(MonotonicTime now) {
    return now.isBefore(backoffUntil);
  }

  /** Returns how long the server is still in backoff; zero if it is not. */
  Duration backoffLeft(MonotonicTime now) {
    return isBackingOff(now) ? backoffUntil.since(now) : Duration.ZERO;
  }

  boolean isUnreachable(MonotonicTime now) {
    boolean unanswered =
        unansweredSince != null && now.since(unansweredSince).compareTo(RESPONSE_TIMEOUT) >= 0;
    boolean failing =
        failingSince != null
            && now.since(failingSince).compareTo(RESPONSE_TIMEOUT) >= 0
            && now.since(lastFailure).compareTo(RESPONSE_TIMEOUT) < 0;
    return unanswered || failing;
  }
}
