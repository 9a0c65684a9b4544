package org.persimmonwalk.model;

import java.util.Objects;
import java.util.Optional;
import org.persimmonwalk.id.ObjectName;

/**
 * The content of a configuration object. An object is written once and never changed.
 *
 * @param configuration the configuration
 * @param previous the object of the revision before, absent in the first one
 */
public record StoredConfiguration(Configuration configuration, Optional<ObjectName> previous) {

  /** Checks that both parts are present. */
  public StoredConfiguration {
    Objects.requireNonNull(configuration, "configuration");
    Objects.requireNonNull(previous, "previous");
  }

  /** Returns the content with the given parts. */
  public static StoredConfiguration of(Configuration configuration, Optional<ObjectName> previous) {
    return new StoredConfiguration(configuration, previous);
  }
}
