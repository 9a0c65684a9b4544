package org.persimmonwalk.model;

import java.util.Objects;
import java.util.Set;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.WorkspaceId;

/**
 * A workspace, with its rate limit and the database groups that it may use.
 *
 * @param id the workspace
 * @param rate the statements per second that all entry hosts together may admit
 * @param burst the statements that all entry hosts together may admit at once
 * @param groups the database groups that callers of the workspace may use
 * @param open whether callers without a key are served
 */
public record Workspace(
    WorkspaceId id, double rate, double burst, Set<DatabaseGroupId> groups, boolean open) {

  /** Checks the rate and the burst. */
  public Workspace {
    Objects.requireNonNull(id, "id");
    groups = Set.copyOf(groups);
    if (!(rate > 0) || !(burst >= 1)) {
      throw new IllegalArgumentException(
          "workspace "
              + id
              + " needs a rate above 0 and a burst of at least 1, not "
              + rate
              + " and "
              + burst);
    }
  }

  /** Returns a workspace that requires a key. */
  public static Workspace of(
      WorkspaceId id, double rate, double burst, Set<DatabaseGroupId> groups) {
    return new Workspace(id, rate, burst, groups, false);
  }
}
