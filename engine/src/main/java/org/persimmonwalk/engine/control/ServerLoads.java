package org.persimmonwalk.engine.control;

import java.time.Duration;
import java.util.Map;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The loads of the servers that were used in an interval.
 *
 * @param endedAt the end of the interval
 */
public record ServerLoads(MonotonicTime endedAt, Map<BackendServerId, ServerLoad> loads) {
  /** No report at all. */
  public static final ServerLoads NONE =
      new ServerLoads(MonotonicTime.of(Long.MIN_VALUE / 2), Map.of());

  /**
   * Reports that are older say little of the load now: a host has about six statements of a server
   * in this time, and three exchanges with the relay may fail.
   */
  private static final Duration MAXIMUM_AGE = Duration.ofMillis(1500);

  /** Makes the map immutable. */
  public ServerLoads {
    loads = Map.copyOf(loads);
  }

  /** Returns these loads, or none if they are too old to be used. */
  public ServerLoads usableAt(MonotonicTime now) {
    return now.since(endedAt).compareTo(MAXIMUM_AGE) > 0 ? NONE : this;
  }

  /** Returns the load of a server; zero if it was not used. */
  public ServerLoad of(BackendServerId server) {
    ServerLoad load = loads.get(server);
    return load == null ? new ServerLoad(server, 0, 0, Duration.ZERO, 0, 0) : load;
  }
}
