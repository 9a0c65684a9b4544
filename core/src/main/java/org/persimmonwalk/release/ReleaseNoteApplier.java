package org.persimmonwalk.release;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.CallerKey;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.Workspace;

/**
 * Applies one release note to a copy of a configuration and collects all faults instead of stopping
 * at the first.
 */
final class ReleaseNoteApplier {
  private final Revision revision;
  private final Map<WorkspaceId, Workspace> workspaces;
  private final Map<KeyHash, CallerKey> keys;
  private final DatabaseGroupsBuilder groups;
  private final List<NoteFault> faults = new ArrayList<>();
  private final Map<ItemName, String> sectionByItem = new HashMap<>();

  private ReleaseNoteApplier(Configuration current) {
    this.revision = current.revision().next();
    this.workspaces = new HashMap<>(current.workspaces());
    this.keys = new HashMap<>(current.keys());
    this.groups = DatabaseGroupsBuilder.of(current.groups());
  }

  static ReleaseNoteApplier of(Configuration current) {
    return new ReleaseNoteApplier(current);
  }

  /**
   * Applies the release note. Groups are applied before servers, so that one note may add a group
   * and a server of it.
   */
  void apply(ReleaseNote note) {
    note.withdrawn().forEach(this::withdraw);
    applyItems(note.added(), "added", false);
    applyItems(note.changed(), "changed", true);
    note.leaving().forEach(this::markLeaving);
    if (sectionByItem.isEmpty()) {
      addFault("note", "the release note changes nothing; list at least one item");
    }
    checkReferences();
  }

  List<NoteFault> faults() {
    return List.copyOf(faults);
  }

  Configuration result(ReleaseNoteId note) {
    return new Configuration(revision, note, workspaces, keys, groups.build());
  }

  private void applyItems(List<ReleaseItem> items, String section, boolean mustExist) {
    for (ReleaseItem item : items) {
      if (item instanceof ReleaseItem.GroupItem) {
        put(item, section, mustExist);
      }
    }
    for (ReleaseItem item : items) {
      if (!(item instanceof ReleaseItem.GroupItem)) {
        put(item, section, mustExist);
      }
    }
  }

  private void put(ReleaseItem item, String section, boolean mustExist) {
    ItemName name = item.name();
    if (!addToSection(name, section)) {
      return;
    }
    if (exists(name) != mustExist) {
      addFault(
          section + "/" + name.path(),
          mustExist
              ? "does not exist; list it under 'added'"
              : "already exists; list it under 'changed'");
      return;
    }
    if (item instanceof ReleaseItem.WorkspaceItem workspaceItem) {
      workspaces.put(workspaceItem.workspace().id(), workspaceItem.workspace());
    } else if (item instanceof ReleaseItem.KeyItem keyItem) {
      keys.put(keyItem.key().hash(), keyItem.key());
    } else if (item instanceof ReleaseItem.GroupItem groupItem) {
      putGroup(groupItem.group(), section);
    } else if (item instanceof ReleaseItem.ServerItem serverItem) {
      putServer(serverItem, section);
    }
  }

  private void putGroup(DatabaseGroup group, String section) {
    String path = section + "/" + ItemName.of(group.id()).path() + "/servers";
    Set<BackendServerId> members = new HashSet<>();
    for (BackendServer server : group.servers()) {
      if (!members.add(server.id())) {
        addFault(path, "lists server " + server.id() + " more than once");
      }
      if ("withdrawn".equals(sectionByItem.get(ItemName.of(server.id())))) {
        addFault(path, "lists server " + server.id() + ", which the same release note withdraws");
      }
    }
    groups.putGroup(group);
  }

  private void putServer(ReleaseItem.ServerItem item, String section) {
    String path = section + "/" + item.name().path();
    if (!groups.hasGroup(item.group())) {
      addFault(path, "names database group " + item.group() + ", which does not exist");
      return;
    }
    Optional<DatabaseGroupId> owner = groups.groupOf(item.server().id());
    if (owner.isPresent() && !owner.get().equals(item.group())) {
      addFault(path, "belongs to database group " + owner.get() + " and cannot move to another");
      return;
    }
    groups.putServer(item.group(), item.server());
  }

  private void withdraw(ItemName name) {
    if (!addToSection(name, "withdrawn")) {
      return;
    }
    if (!exists(name)) {
      addFault("withdrawn/" + name.path(), "does not exist");
      return;
    }
    switch (name.kind()) {
      case WORKSPACE -> workspaces.remove(WorkspaceId.of(name.id()));
      case KEY -> keys.remove(KeyHash.of(name.id()));
      case GROUP -> groups.removeGroup(DatabaseGroupId.of(name.id()));
      case SERVER -> groups.removeServer(BackendServerId.of(name.id()));
    }
  }

  private void markLeaving(BackendServerId id) {
    ItemName name = ItemName.of(id);
    if (!addToSection(name, "leaving")) {
      return;
    }
    Optional<BackendServer> server = groups.server(id);
    if (server.isEmpty()) {
      addFault("leaving/" + name.path(), "does not exist");
      return;
    }
    groups.putServer(groups.groupOf(id).orElseThrow(), server.get().asLeaving());
  }

  /**
   * Records the section that lists the item. Returns false and adds a fault if another entry of the
   * note lists it already.
   */
  private boolean addToSection(ItemName name, String section) {
    String earlier = sectionByItem.putIfAbsent(name, section);
    if (earlier != null) {
      addFault(
          section + "/" + name.path(), "is already listed under " + earlier + "; list it once");
      return false;
    }
    return true;
  }

  private boolean exists(ItemName name) {
    return switch (name.kind()) {
      case WORKSPACE -> workspaces.keySet().stream().anyMatch(id -> id.value().equals(name.id()));
      case KEY -> keys.keySet().stream().anyMatch(hash -> hash.value().equals(name.id()));
      case GROUP -> groups.hasGroup(name.id());
      case SERVER -> groups.hasServer(name.id());
    };
  }

  /** Checks that the items of the resulting configuration refer only to items that exist. */
  private void checkReferences() {
    for (Workspace workspace : workspaces.values()) {
      for (DatabaseGroupId group : workspace.groups()) {
        if (!groups.hasGroup(group)) {
          addFault(
              ItemName.of(workspace.id()).path() + "/groups",
              "names database group " + group + ", which does not exist");
        }
      }
    }
    for (CallerKey key : keys.values()) {
      if (!workspaces.containsKey(key.workspace())) {
        addFault(
            ItemName.of(key.hash()).path() + "/workspace",
            "names workspace " + key.workspace() + ", which does not exist");
      }
    }
    groups.check(faults);
  }

  private void addFault(String path, String message) {
    faults.add(NoteFault.of(path, message));
  }
}
