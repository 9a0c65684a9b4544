package org.persimmonwalk.model;

import java.time.Duration;
import java.util.Objects;

/**
 * The last known state of a host, passed on by another host in a {@link Heartbeat}.
 *
 * @param host the entry that the host last sent about itself
 * @param age the time since the host sent it
 */
public record RelayedHostState(HostEntry host, Duration age) {

  /** Checks that the age is within limits. */
  public RelayedHostState {
    Objects.requireNonNull(host, "host");
    DurationLimits.check(age);
  }

  /** Returns the state of a host, sent the given time ago. */
  public static RelayedHostState of(HostEntry host, Duration age) {
    return new RelayedHostState(host, age);
  }
}
