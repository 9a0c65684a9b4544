package org.persimmonwalk.release;

import java.util.Objects;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.CallerKey;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.Workspace;

/** An item that a release note adds or changes, with its new content. */
public sealed interface ReleaseItem {

  /** Returns the kind and identifier of the item. */
  ItemName name();

  /** A workspace. */
  record WorkspaceItem(Workspace workspace) implements ReleaseItem {
    /** Checks that the workspace is present. */
    public WorkspaceItem {
      Objects.requireNonNull(workspace, "workspace");
    }

    @Override
    public ItemName name() {
      return ItemName.of(workspace.id());
    }
  }

  /** A caller key, by its hash. */
  record KeyItem(CallerKey key) implements ReleaseItem {
    /** Checks that the key is present. */
    public KeyItem {
      Objects.requireNonNull(key, "key");
    }

    @Override
    public ItemName name() {
      return ItemName.of(key.hash());
    }
  }

  /** A database group with all its servers; a change replaces the list of servers. */
  record GroupItem(DatabaseGroup group) implements ReleaseItem {
    /** Checks that the group is present. */
    public GroupItem {
      Objects.requireNonNull(group, "group");
    }

    @Override
    public ItemName name() {
      return ItemName.of(group.id());
    }
  }

  /** A backend server and the group that it belongs to. */
  record ServerItem(DatabaseGroupId group, BackendServer server) implements ReleaseItem {
    /** Checks that both parts are present. */
    public ServerItem {
      Objects.requireNonNull(group, "group");
      Objects.requireNonNull(server, "server");
    }

    @Override
    public ItemName name() {
      return ItemName.of(server.id());
    }
  }
}
