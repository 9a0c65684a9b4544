package org.persimmonwalk.model;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Answers a {@link ConfigurationRequest} from a host that has a lower revision.
 *
 * @param configuration the sender's configuration
 * @param freshnessAge the time since the configuration was last known to be the newest, if it ever
 *     was
 * @param echoedSentAt the request's {@code sentAt}, on the receiver's clock
 */
public record ConfigurationReply(
    Configuration configuration, Optional<Duration> freshnessAge, MonotonicTime echoedSentAt)
    implements PeerMessage {

  /** Checks that all parts are present. */
  public ConfigurationReply {
    Objects.requireNonNull(configuration, "configuration");
    DurationLimits.check(freshnessAge);
    Objects.requireNonNull(echoedSentAt, "echoedSentAt");
  }
}
