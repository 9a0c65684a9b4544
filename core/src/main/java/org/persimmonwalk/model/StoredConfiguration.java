package org.persimmonwalk.model;

import java.util.Objects;
import java.util.Optional;
import org.persimmonwalk.id.ObjectName;

/**
 * The content of a configuration object in the platform's object store. An object is written once
 * and never changed.
 *
 * @param configuration the configuration
 * @param previous the object of the previous revision, empty in the first revision
 */
public record StoredConfiguration(Configuration configuration, Optional<ObjectName> previous) {

  /** Checks that both parts are present. */
  public StoredConfiguration {
    Objects.requireNonNull(configuration, "configuration");
    Objects.requireNonNull(previous, "previous");
  }

  /** Returns the content of an object with the given configuration. */
  public static StoredConfiguration of(Configuration configuration, Optional<ObjectName> previous) {
    return new StoredConfiguration(configuration, previous);
  }
}
