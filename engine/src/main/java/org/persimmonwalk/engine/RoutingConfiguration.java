package org.persimmonwalk.engine;

import java.time.Duration;
import java.util.Map;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.SortedCopies;

/**
 * The routes, database groups, keys and rate limits that operators have put in force.
 *
 * @param version increases with each change, not always by one
 * @param keys the workspace that each key belongs to, by the hash of the key
 * @param transactionIdleTimeout how long a transaction may be idle before it may be aborted
 */
public record RoutingConfiguration(
    long version,
    Map<DatabaseName, Route> routes,
    Map<DatabaseGroupId, GroupSettings> groups,
    Map<KeyHash, WorkspaceId> keys,
    Map<WorkspaceId, RateLimit> limits,
    Duration transactionIdleTimeout) {

  /** Placeholder for a host that has not read a configuration yet. */
  public static final RoutingConfiguration NONE =
      new RoutingConfiguration(-1, Map.of(), Map.of(), Map.of(), Map.of(), Duration.ofSeconds(3));

  /** Makes the maps immutable, and sorts the groups, which controllers go through. */
  public RoutingConfiguration {
    routes = Map.copyOf(routes);
    groups = SortedCopies.of(groups);
    keys = Map.copyOf(keys);
    limits = Map.copyOf(limits);
  }

  /** Returns whether a configuration has been read. */
  public boolean isPresent() {
    return version >= 0;
  }
}
