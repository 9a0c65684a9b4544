package org.persimmonwalk.model;

import java.util.Objects;
import java.util.Set;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.WorkspaceId;

/**
 * A workspace and what it may use.
 *
 * @param id the workspace
 * @param rate statements per second over all entry hosts together
 * @param burst statements that may come at once over all entry hosts together
 * @param groups the database groups that the workspace may reach
 * @param open whether the workspace serves callers without a key
 */
public record Workspace(
    WorkspaceId id, double rate, double burst, Set<DatabaseGroupId> groups, boolean open) {

  /** Checks the rate and the burst. */
  public Workspace {
    Objects.requireNonNull(id, "id");
    groups = Set.copyOf(groups);
    if (!(rate > 0) || !(burst >= 1)) {
      throw new IllegalArgumentException(
          "workspace " + id + " needs a rate above 0 and a burst of at least 1");
    }
  }

  /** Returns a workspace that requires a key. */
  public static Workspace of(
      WorkspaceId id, double rate, double burst, Set<DatabaseGroupId> groups) {
    return new Workspace(id, rate, burst, groups, false);
  }
}
