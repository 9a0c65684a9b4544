package org.persimmonwalk.model;

import java.time.Duration;
import java.util.Objects;

/**
 * The last known state of a host, passed on by another host in a {@link Heartbeat}.
 *
 * @param host the entry that the host last sent about itself
 * @param age the time since the host sent it
 */
public record HostNews(HostEntry host, Duration age) {

  /** Checks that the age is within limits. */
  public HostNews {
    Objects.requireNonNull(host, "host");
    DurationLimits.check(age);
  }

  /** Returns the state of a host, sent the given time ago. */
  public static HostNews of(HostEntry host, Duration age) {
    return new HostNews(host, age);
  }
}
