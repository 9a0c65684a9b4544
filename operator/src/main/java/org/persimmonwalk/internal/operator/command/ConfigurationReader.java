package org.persimmonwalk.internal.operator.command;

import java.util.Optional;
import java.util.function.Predicate;
import org.persimmonwalk.id.ObjectName;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.ConfigurationRow;
import org.persimmonwalk.model.StoredConfiguration;
import org.persimmonwalk.model.VersionedRow;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/** Reads the configuration in force and earlier ones from the platform; each call blocks. */
final class ConfigurationReader {
  /** The publisher of release notes also searches at most 128 revisions for the base of a note. */
  private static final int BASE_DISTANCE_LIMIT = 128;

  private final OperatorEnvironment.PlatformAccess platform;

  private ConfigurationReader(OperatorEnvironment.PlatformAccess platform) {
    this.platform = platform;
  }

  static ConfigurationReader of(OperatorEnvironment.PlatformAccess platform) {
    return new ConfigurationReader(platform);
  }

  /** Returns the configuration in force, or an empty one if none was ever published. */
  Configuration current() {
    return newest().map(StoredConfiguration::configuration).orElse(Configuration.EMPTY);
  }

  /** Returns the configuration of a revision; empty unless it is among the newest 128. */
  Optional<Configuration> find(Revision revision) {
    if (revision.equals(Revision.NONE)) {
      return Optional.of(Configuration.EMPTY);
    }
    Configuration[] found = new Configuration[1];
    walk(
        BASE_DISTANCE_LIMIT,
        configuration -> {
          found[0] = configuration.revision().equals(revision) ? configuration : null;
          return configuration.revision().isNewerThan(revision);
        });
    return Optional.ofNullable(found[0]);
  }

  /**
   * Visits configurations from the newest to the oldest, until the visitor returns false or the
   * given number has been visited.
   */
  void walk(int limit, Predicate<Configuration> visitor) {
    Optional<StoredConfiguration> stored = newest();
    int visited = 0;
    while (stored.isPresent() && visited < limit && visitor.test(stored.get().configuration())) {
      visited++;
      stored = stored.get().previous().flatMap(this::object);
    }
  }

  private Optional<StoredConfiguration> newest() {
    VersionedRow row = Stages.await(platform.table().read(ConfigurationRow.ROW));
    if (row.value().isEmpty()) {
      return Optional.empty();
    }
    ObjectName name = ((ConfigurationRow) row.value().get()).object();
    Optional<StoredConfiguration> stored = object(name);
    if (stored.isEmpty()) {
      throw PersimmonwalkException.of(
          ResultCode.PLATFORM_ANSWER_INVALID,
          "object " + name + " of the configuration in force does not exist; restore it");
    }
    return stored;
  }

  private Optional<StoredConfiguration> object(ObjectName name) {
    return Stages.await(platform.objects().get(name));
  }
}
