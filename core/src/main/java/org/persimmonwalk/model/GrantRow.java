package org.persimmonwalk.model;

import java.util.Map;
import org.persimmonwalk.id.EntryHostId;

/**
 * The table row that divides the rate and burst of a workspace, or the connections of a backend
 * server, between the entry hosts.
 *
 * <p>The row of a workspace grants some of {@link #SHARE_TOTAL} equal parts of the configured rate
 * and burst, so that a changed rate applies immediately and sums are exact. The row of a backend
 * server grants connections.
 *
 * @param total the number of units that the row may grant
 * @param grants the lease of each host
 */
public record GrantRow(long total, Map<EntryHostId, Grant> grants) implements RowValue {

  /** The table with a row for each workspace. */
  public static final String WORKSPACE_TABLE = "workspace-shares";

  /** The table with a row for each backend server. */
  public static final String SERVER_TABLE = "connection-allowances";

  /** The number of equal parts into which the rate and burst of a workspace are divided. */
  public static final long SHARE_TOTAL = 1_000_000;

  /** Copies the grants. */
  public GrantRow {
    grants = Map.copyOf(grants);
  }

  /** Returns a row with the given grants. */
  public static GrantRow of(long total, Map<EntryHostId, Grant> grants) {
    return new GrantRow(total, grants);
  }

  /** Returns the sum of the amounts of all grants. */
  public long granted() {
    return grants.values().stream().mapToLong(Grant::amount).sum();
  }
}
