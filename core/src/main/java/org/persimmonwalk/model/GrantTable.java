package org.persimmonwalk.model;

import java.util.Map;
import org.persimmonwalk.id.EntryHostId;

/**
 * The row that divides a workspace's rate and burst, or a backend server's connections, between the
 * entry hosts.
 *
 * <p>A workspace's row grants {@link #SHARE_TOTAL} equal parts of whatever rate and burst the
 * configuration states, so a changed rate is in force at once and sums are exact. A backend
 * server's row grants connections.
 *
 * @param total units that the row may grant
 * @param grants what each host is granted
 */
public record GrantTable(long total, Map<EntryHostId, Grant> grants) implements RowValue {

  /** The table with a row for each workspace. */
  public static final String WORKSPACE_TABLE = "workspace-shares";

  /** The table with a row for each backend server. */
  public static final String SERVER_TABLE = "connection-allowances";

  /** The parts into which a workspace's rate and burst are divided. */
  public static final long SHARE_TOTAL = 1_000_000;

  /** Copies the grants. */
  public GrantTable {
    grants = Map.copyOf(grants);
  }

  /** Returns a row with the given grants. */
  public static GrantTable of(long total, Map<EntryHostId, Grant> grants) {
    return new GrantTable(total, grants);
  }

  /** Returns the sum of all grants. */
  public long granted() {
    return grants.values().stream().mapToLong(Grant::amount).sum();
  }
}
