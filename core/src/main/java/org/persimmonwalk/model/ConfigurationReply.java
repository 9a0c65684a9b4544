package org.persimmonwalk.model;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Answers a {@link ConfigurationRequest} of a host that has a lower revision.
 *
 * @param configuration the sender's configuration
 * @param freshnessAge the time since it was last known to be current, if it ever was
 * @param answers the receiver's clock in the request
 */
public record ConfigurationReply(
    Configuration configuration, Optional<Duration> freshnessAge, MonotonicTime answers)
    implements PeerMessage {

  /** Checks that all parts are present. */
  public ConfigurationReply {
    Objects.requireNonNull(configuration, "configuration");
    Ages.check(freshnessAge);
    Objects.requireNonNull(answers, "answers");
  }
}
