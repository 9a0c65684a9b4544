package org.persimmonwalk.observation;

import java.util.Objects;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.MonotonicTime;

/**
 * A configuration was loaded from the platform. One from a peer arrives as a {@link
 * org.persimmonwalk.model.ConfigurationReply} instead.
 *
 * @param configuration the configuration
 * @param currentAt a time at which the configuration was known to be the newest
 */
public record ConfigurationLoaded(Configuration configuration, MonotonicTime currentAt)
    implements Observation {

  /** Checks that both parts are present. */
  public ConfigurationLoaded {
    Objects.requireNonNull(configuration, "configuration");
    Objects.requireNonNull(currentAt, "currentAt");
  }
}
