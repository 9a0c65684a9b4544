package org.persimmonwalk.model;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;

/**
 * A group of backend servers that replicate one database.
 *
 * @param id the group
 * @param servers the primary and all replicas; which of them is the primary is not configured
 * @param defaultMaximumAge the maximum age of the data that a read accepts if it states none
 */
public record DatabaseGroup(
    DatabaseGroupId id, List<BackendServer> servers, Duration defaultMaximumAge) {

  /** Checks that the group has servers. */
  public DatabaseGroup {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(defaultMaximumAge, "defaultMaximumAge");
    servers = List.copyOf(servers);
    if (servers.isEmpty()) {
      throw new IllegalArgumentException(
          "database group " + id + " needs at least 1 backend server");
    }
  }

  /** Returns the group with the given servers. */
  public static DatabaseGroup of(
      DatabaseGroupId id, List<BackendServer> servers, Duration defaultMaximumAge) {
    return new DatabaseGroup(id, servers, defaultMaximumAge);
  }

  /** Returns the server with the given identifier, if it is in the group. */
  public Optional<BackendServer> server(BackendServerId server) {
    return servers.stream().filter(candidate -> candidate.id().equals(server)).findFirst();
  }
}
