package org.persimmonwalk.model;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;

/**
 * One revision of the configuration: all workspaces, caller keys and database groups. Each release
 * note produces a new revision, and entry hosts replace the configuration as a whole.
 *
 * @param revision the revision
 * @param note the release note that produced the revision
 * @param workspaces the workspaces
 * @param keys the caller keys, by hash
 * @param groups the database groups
 */
public record Configuration(
    Revision revision,
    ReleaseNoteId note,
    Map<WorkspaceId, Workspace> workspaces,
    Map<KeyHash, CallerKey> keys,
    Map<DatabaseGroupId, DatabaseGroup> groups) {

  /** The configuration before the first release note, and of a host that has not read one yet. */
  public static final Configuration EMPTY =
      new Configuration(Revision.NONE, ReleaseNoteId.of("none"), Map.of(), Map.of(), Map.of());

  /** Copies the maps, and sorts the groups, which controllers go through. */
  public Configuration {
    Objects.requireNonNull(revision, "revision");
    Objects.requireNonNull(note, "note");
    workspaces = Map.copyOf(workspaces);
    keys = Map.copyOf(keys);
    groups = SortedCopies.of(groups);
  }

  /** Returns the workspace with the given identifier, if it exists. */
  public Optional<Workspace> workspace(WorkspaceId workspace) {
    return Optional.ofNullable(workspaces.get(workspace));
  }

  /** Returns the group with the given identifier, if it exists. */
  public Optional<DatabaseGroup> group(DatabaseGroupId group) {
    return Optional.ofNullable(groups.get(group));
  }

  /** Returns the group that the given server belongs to, if it is configured. */
  public Optional<DatabaseGroup> groupOf(BackendServerId server) {
    return groups.values().stream().filter(group -> group.server(server).isPresent()).findFirst();
  }

  /** Returns whether the key grants access to the workspace. */
  public boolean allows(KeyHash key, WorkspaceId workspace) {
    CallerKey known = keys.get(key);
    return known != null && known.workspace().equals(workspace);
  }
}
