package org.persimmonwalk.peer;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.persimmonwalk.id.AvailabilityZone;
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
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.peer.generated.BackendServerMessage;
import org.persimmonwalk.peer.generated.CallerKeyMessage;
import org.persimmonwalk.peer.generated.ConfigurationMessage;
import org.persimmonwalk.peer.generated.DatabaseGroupMessage;
import org.persimmonwalk.peer.generated.WorkspaceMessage;

/** Converts configurations to protobuf messages and back. */
final class ConfigurationCodec {

  private ConfigurationCodec() {}

  static ConfigurationMessage encode(Configuration configuration) {
    ConfigurationMessage.Builder builder =
        ConfigurationMessage.newBuilder()
            .setRevision(configuration.revision().number())
            .setNote(configuration.note().value());
    configuration.workspaces().values().forEach(item -> builder.addWorkspaces(encode(item)));
    configuration.keys().values().forEach(item -> builder.addKeys(encode(item)));
    configuration.groups().values().forEach(item -> builder.addGroups(encode(item)));
    return builder.build();
  }

  static Configuration decode(ConfigurationMessage message) {
    Map<WorkspaceId, Workspace> workspaces = new HashMap<>();
    for (WorkspaceMessage item : message.getWorkspacesList()) {
      Workspace workspace = decode(item);
      workspaces.put(workspace.id(), workspace);
    }
    Map<KeyHash, CallerKey> keys = new HashMap<>();
    for (CallerKeyMessage item : message.getKeysList()) {
      CallerKey key = decode(item);
      keys.put(key.hash(), key);
    }
    Map<DatabaseGroupId, DatabaseGroup> groups = new HashMap<>();
    for (DatabaseGroupMessage item : message.getGroupsList()) {
      DatabaseGroup group = decode(item);
      groups.put(group.id(), group);
    }
    return new Configuration(
        Revision.of(message.getRevision()),
        ReleaseNoteId.of(message.getNote()),
        workspaces,
        keys,
        groups);
  }

  private static WorkspaceMessage encode(Workspace workspace) {
    WorkspaceMessage.Builder builder =
        WorkspaceMessage.newBuilder()
            .setId(workspace.id().value())
            .setRate(workspace.rate())
            .setBurst(workspace.burst())
            .setOpen(workspace.open());
    workspace.groups().forEach(group -> builder.addGroups(group.value()));
    return builder.build();
  }

  private static Workspace decode(WorkspaceMessage message) {
    Set<DatabaseGroupId> groups =
        message.getGroupsList().stream().map(DatabaseGroupId::of).collect(Collectors.toSet());
    return new Workspace(
        WorkspaceId.of(message.getId()),
        message.getRate(),
        message.getBurst(),
        groups,
        message.getOpen());
  }

  private static CallerKeyMessage encode(CallerKey key) {
    return CallerKeyMessage.newBuilder()
        .setHash(ByteString.copyFrom(HexFormat.of().parseHex(key.hash().value())))
        .setWorkspace(key.workspace().value())
        .build();
  }

  private static CallerKey decode(CallerKeyMessage message) {
    String hash = HexFormat.of().formatHex(message.getHash().toByteArray());
    return CallerKey.of(KeyHash.of(hash), WorkspaceId.of(message.getWorkspace()));
  }

  private static DatabaseGroupMessage encode(DatabaseGroup group) {
    DatabaseGroupMessage.Builder builder =
        DatabaseGroupMessage.newBuilder()
            .setId(group.id().value())
            .setDefaultMaximumAgeMilliseconds(group.defaultMaximumAge().toMillis());
    group.servers().forEach(server -> builder.addServers(encode(server)));
    return builder.build();
  }

  private static DatabaseGroup decode(DatabaseGroupMessage message) {
    return DatabaseGroup.of(
        DatabaseGroupId.of(message.getId()),
        message.getServersList().stream().map(ConfigurationCodec::decode).toList(),
        Duration.ofMillis(message.getDefaultMaximumAgeMilliseconds()));
  }

  private static BackendServerMessage encode(BackendServer server) {
    return BackendServerMessage.newBuilder()
        .setId(server.id().value())
        .setZone(server.zone().value())
        .setAddress(server.endpoint().address())
        .setPort(server.endpoint().port())
        .setSlots(server.slots())
        .setConnections(server.connections())
        .setLeaving(server.leaving())
        .build();
  }

  private static BackendServer decode(BackendServerMessage message) {
    return new BackendServer(
        BackendServerId.of(message.getId()),
        AvailabilityZone.of(message.getZone()),
        SocketEndpoint.of(message.getAddress(), message.getPort()),
        message.getSlots(),
        message.getConnections(),
        message.getLeaving());
  }
}
