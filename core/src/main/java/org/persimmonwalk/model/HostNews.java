package org.persimmonwalk.model;

import java.time.Duration;
import java.util.Objects;

/**
 * What a host last said of itself, passed on by another host.
 *
 * @param host the statement
 * @param age the time since the host made the statement
 */
public record HostNews(HostEntry host, Duration age) {

  /** Checks the age. */
  public HostNews {
    Objects.requireNonNull(host, "host");
    Ages.check(age);
  }

  /** Returns the news with the given age. */
  public static HostNews of(HostEntry host, Duration age) {
    return new HostNews(host, age);
  }
}
