package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import org.persimmonwalk.model.MonotonicTime;

/** What this host has measured of a backend server. */
final class ServerHealth {
  /** A server that says nothing for so long while asked is treated as unreachable. */
  static final Duration SILENCE = Duration.ofMillis(700);

  /** After a failed connection the server is left alone for this long. */
  static final Duration AVOIDANCE = Duration.ofMillis(250);

  /** A server that reports no connection left is left alone for this long. */
  static final Duration FULL_AVOIDANCE = Duration.ofMillis(300);

  /** Failures further apart than this do not belong to one outage. */
  static final Duration FAILURES_APART = Duration.ofMillis(1500);

  /** The weight of a new latency in the moving average. */
  private static final double WEIGHT = 0.15;

  /** Old latencies lose half of their excess in this time, so that a recovered server is tried. */
  private static final double HALF_LIFE_SECONDS = 1.5;

  private static final double INITIAL_MILLIS = 15;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double NANOS_PER_SECOND = 1e9;

  private double latencyMillis = INITIAL_MILLIS;
  private MonotonicTime measuredAt;
  private MonotonicTime avoidUntil;
  private MonotonicTime behindUntil;
  private MonotonicTime unansweredSince;
  private MonotonicTime failingSince;
  private MonotonicTime lastFailure;

  ServerHealth(MonotonicTime now) {
    this.measuredAt = now;
    this.avoidUntil = now;
    this.behindUntil = now;
  }

  void measured(Duration latency, MonotonicTime now) {
    double current = latencyMillis(now);
    latencyMillis = current + WEIGHT * (latency.toNanos() / NANOS_PER_MILLI - current);
    measuredAt = now;
    heard();
  }

  double latencyMillis(MonotonicTime now) {
    double seconds = now.since(measuredAt).toNanos() / NANOS_PER_SECOND;
    double kept = Math.pow(0.5, seconds / HALF_LIFE_SECONDS);
    return INITIAL_MILLIS + (latencyMillis - INITIAL_MILLIS) * kept;
  }

  void asked(MonotonicTime now) {
    if (unansweredSince == null) {
      unansweredSince = now;
    }
  }

  void heard() {
    unansweredSince = null;
    failingSince = null;
  }

  /** Nothing is asked of the server any more, so its silence means nothing. */
  void rested() {
    unansweredSince = null;
  }

  void connectionFailed(MonotonicTime now) {
    if (failingSince == null || now.since(lastFailure).compareTo(FAILURES_APART) > 0) {
      failingSince = now;
    }
    lastFailure = now;
    avoidUntil = now.plus(AVOIDANCE);
  }

  void full(MonotonicTime now) {
    heard();
    avoidUntil = now.plus(FULL_AVOIDANCE);
  }

  /** A server that fails reads is tried again after a pause; its connections stay usable. */
  void failed(MonotonicTime now) {
    avoidUntil = now.plus(AVOIDANCE);
  }

  void behind(MonotonicTime now) {
    behindUntil = now.plus(AVOIDANCE);
  }

  boolean isBehind(MonotonicTime now) {
    return now.isBefore(behindUntil);
  }

  boolean isAvoided(MonotonicTime now) {
    return now.isBefore(avoidUntil);
  }

  boolean isSilent(MonotonicTime now) {
    boolean unanswered =
        unansweredSince != null && now.since(unansweredSince).compareTo(SILENCE) >= 0;
    boolean failing =
        failingSince != null
            && now.since(failingSince).compareTo(SILENCE) >= 0
            && now.since(lastFailure).compareTo(SILENCE) < 0;
    return unanswered || failing;
  }
}
