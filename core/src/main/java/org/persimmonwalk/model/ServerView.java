package org.persimmonwalk.model;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * An entry host's knowledge of a backend server, part of a {@link GroupView}.
 *
 * @param server the server as configured
 * @param sample the newest sample, if there is one
 * @param sampledAt when the probe of the newest sample started; before the first sample, when the
 *     server became known
 * @param failingSince the start of the first probe that has failed since the newest sample, if any
 */
public record ServerView(
    BackendServer server,
    Optional<ServerSample> sample,
    MonotonicTime sampledAt,
    Optional<MonotonicTime> failingSince) {

  /** Checks that all parts are present. */
  public ServerView {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(sample, "sample");
    Objects.requireNonNull(sampledAt, "sampledAt");
    Objects.requireNonNull(failingSince, "failingSince");
  }

  /** Returns the view of a server that has not been sampled yet. */
  public static ServerView unknown(BackendServer server, MonotonicTime now) {
    return new ServerView(server, Optional.empty(), now, Optional.empty());
  }

  /** Returns the view after a probe that succeeded, unless a later probe has succeeded already. */
  public ServerView withSample(ServerSample newSample, MonotonicTime startedAt) {
    if (sample.isPresent() && startedAt.isBefore(sampledAt)) {
      return this;
    }
    return new ServerView(server, Optional.of(newSample), startedAt, Optional.empty());
  }

  /** Returns the view after a probe that failed, unless a later probe has succeeded already. */
  public ServerView withFailure(MonotonicTime startedAt) {
    if (sample.isPresent() && !startedAt.isAfter(sampledAt)) {
      return this;
    }
    return new ServerView(server, sample, sampledAt, Optional.of(failingSince.orElse(startedAt)));
  }

  /** Returns the view with a changed configuration of the server. */
  public ServerView withServer(BackendServer configured) {
    return new ServerView(configured, sample, sampledAt, failingSince);
  }

  /**
   * Returns whether the probe of the newest sample started at most the given time ago and no later
   * probe has failed.
   */
  public boolean isFresh(Duration age, MonotonicTime now) {
    return sample.isPresent() && failingSince.isEmpty() && now.since(sampledAt).compareTo(age) <= 0;
  }

  /** Returns whether all probes have failed for at least the given time. */
  public boolean isFailingFor(Duration time, MonotonicTime now) {
    return failingSince.isPresent()
        && now.since(failingSince.get()).compareTo(time) >= 0
        && now.since(sampledAt).compareTo(time) >= 0;
  }

  /** Returns whether the newest sample shows the given role in the given term. */
  public boolean hasRole(ServerRole role, Term term) {
    return sample.isPresent() && sample.get().role() == role && sample.get().term().equals(term);
  }
}
