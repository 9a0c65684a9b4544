package org.persimmonwalk.internal.operator.note;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.CallerKey;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.release.ItemKind;
import org.persimmonwalk.release.ItemName;
import org.persimmonwalk.release.ReleaseItem;

/**
 * Converts the sections of a release note into configuration items. An item with a fault is left
 * out; the fault is recorded by the section.
 */
final class NoteItems {
  private static final Duration DEFAULT_MAXIMUM_AGE = Duration.ofSeconds(30);

  private NoteItems() {}

  /** Reads the items of the section "added" or "changed". */
  static List<ReleaseItem> items(NoteSection section) {
    List<ReleaseItem> items = new ArrayList<>();
    NoteSection workspaces = section.section(ItemKind.WORKSPACE.path());
    for (String name : workspaces.names()) {
      workspace(workspaces, name).map(ReleaseItem.WorkspaceItem::new).ifPresent(items::add);
    }
    NoteSection keys = section.section(ItemKind.KEY.path());
    for (String name : keys.names()) {
      key(keys, name).map(ReleaseItem.KeyItem::new).ifPresent(items::add);
    }
    NoteSection groups = section.section(ItemKind.GROUP.path());
    for (String name : groups.names()) {
      group(groups, name).map(ReleaseItem.GroupItem::new).ifPresent(items::add);
    }
    NoteSection servers = section.section(ItemKind.SERVER.path());
    for (String name : servers.names()) {
      serverOfGroup(servers, name).ifPresent(items::add);
    }
    section.rejectUnknown();
    return items;
  }

  /** Reads the names of the items in the section "withdrawn". */
  static List<ItemName> itemNames(NoteSection section) {
    List<ItemName> names = new ArrayList<>();
    section
        .list(ItemKind.WORKSPACE.path(), WorkspaceId::of)
        .forEach(id -> names.add(ItemName.of(id)));
    section.list(ItemKind.KEY.path(), KeyHash::of).forEach(hash -> names.add(ItemName.of(hash)));
    section
        .list(ItemKind.GROUP.path(), DatabaseGroupId::of)
        .forEach(id -> names.add(ItemName.of(id)));
    section
        .list(ItemKind.SERVER.path(), BackendServerId::of)
        .forEach(id -> names.add(ItemName.of(id)));
    section.rejectUnknown();
    return names;
  }

  private static Optional<Workspace> workspace(NoteSection parent, String name) {
    Optional<WorkspaceId> id = parent.convertName(name, WorkspaceId::of);
    NoteSection section = parent.section(name);
    Optional<Double> rate = section.required("rate", NoteValues::number);
    Optional<Double> burst = section.required("burst", NoteValues::number);
    List<DatabaseGroupId> groups = section.list("groups", DatabaseGroupId::of);
    Optional<Boolean> open = section.optional("open", false, NoteValues::flag);
    section.rejectUnknown();
    if (id.isEmpty() || rate.isEmpty() || burst.isEmpty() || open.isEmpty()) {
      return Optional.empty();
    }
    return section.build(
        () -> new Workspace(id.get(), rate.get(), burst.get(), new HashSet<>(groups), open.get()));
  }

  private static Optional<CallerKey> key(NoteSection parent, String name) {
    Optional<KeyHash> hash = parent.convertName(name, KeyHash::of);
    NoteSection section = parent.section(name);
    Optional<WorkspaceId> workspace = section.required("workspace", WorkspaceId::of);
    section.rejectUnknown();
    return hash.isEmpty() || workspace.isEmpty()
        ? Optional.empty()
        : Optional.of(CallerKey.of(hash.get(), workspace.get()));
  }

  private static Optional<DatabaseGroup> group(NoteSection parent, String name) {
    Optional<DatabaseGroupId> id = parent.convertName(name, DatabaseGroupId::of);
    NoteSection section = parent.section(name);
    Optional<Duration> maximumAge =
        section.optional("defaultMaximumAge", DEFAULT_MAXIMUM_AGE, NoteValues::duration);
    NoteSection members = section.section("servers");
    List<BackendServer> servers = new ArrayList<>();
    List<String> names = members.names();
    for (String server : names) {
      NoteSection content = members.section(server);
      server(members, server, content).ifPresent(servers::add);
      content.rejectUnknown();
    }
    section.rejectUnknown();
    if (id.isEmpty() || maximumAge.isEmpty() || servers.size() < names.size()) {
      return Optional.empty();
    }
    return section.build(() -> DatabaseGroup.of(id.get(), servers, maximumAge.get()));
  }

  private static Optional<ReleaseItem> serverOfGroup(NoteSection parent, String name) {
    NoteSection section = parent.section(name);
    Optional<DatabaseGroupId> group = section.required("group", DatabaseGroupId::of);
    Optional<BackendServer> server = server(parent, name, section);
    section.rejectUnknown();
    return group.isEmpty() || server.isEmpty()
        ? Optional.empty()
        : Optional.of(new ReleaseItem.ServerItem(group.get(), server.get()));
  }

  private static Optional<BackendServer> server(
      NoteSection parent, String name, NoteSection section) {
    Optional<BackendServerId> id = parent.convertName(name, BackendServerId::of);
    Optional<AvailabilityZone> zone = section.required("zone", AvailabilityZone::of);
    Optional<SocketEndpoint> endpoint = section.required("endpoint", NoteValues::endpoint);
    Optional<Integer> slots = section.required("slots", NoteValues::wholeNumber);
    Optional<Integer> connections = section.required("connections", NoteValues::wholeNumber);
    Optional<Boolean> leaving = section.optional("leaving", false, NoteValues::flag);
    boolean complete =
        id.isPresent()
            && zone.isPresent()
            && endpoint.isPresent()
            && slots.isPresent()
            && connections.isPresent()
            && leaving.isPresent();
    if (!complete) {
      return Optional.empty();
    }
    return section.build(
        () ->
            new BackendServer(
                id.get(),
                zone.get(),
                endpoint.get(),
                slots.get(),
                connections.get(),
                leaving.get()));
  }
}
