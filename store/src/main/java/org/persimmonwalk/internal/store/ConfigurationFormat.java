package org.persimmonwalk.internal.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.ObjectName;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.CallerKey;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.model.StoredConfiguration;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/** Converts the configuration objects of the object store to JSON and back. */
public final class ConfigurationFormat {
  private static final ObjectMapper JSON = new ObjectMapper();

  private ConfigurationFormat() {}

  /** Returns the format. */
  public static ConfigurationFormat create() {
    return new ConfigurationFormat();
  }

  /** Returns the JSON of an object. */
  public byte[] encode(StoredConfiguration content) {
    Configuration configuration = content.configuration();
    ObjectNode tree = JSON.createObjectNode();
    tree.put("revision", configuration.revision().number());
    tree.put("note", configuration.note().value());
    content.previous().ifPresent(name -> tree.put("previous", name.value()));
    ArrayNode workspaces = tree.putArray("workspaces");
    configuration.workspaces().values().forEach(item -> encode(workspaces.addObject(), item));
    ArrayNode keys = tree.putArray("keys");
    configuration.keys().values().forEach(item -> encode(keys.addObject(), item));
    ArrayNode groups = tree.putArray("groups");
    configuration.groups().values().forEach(item -> encode(groups.addObject(), item));
    try {
      return JSON.writeValueAsBytes(tree);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the configuration cannot be written as JSON", e);
    }
  }

  /**
   * Reads the JSON of an object.
   *
   * @throws PersimmonwalkException with {@code PLATFORM_ANSWER_INVALID} if the bytes are not a
   *     valid configuration
   */
  public StoredConfiguration decode(byte[] content) {
    try {
      JsonNode tree = JSON.readTree(content);
      return StoredConfiguration.of(
          decodeConfiguration(tree),
          Optional.ofNullable(tree.get("previous")).map(JsonNode::textValue).map(ObjectName::of));
    } catch (IOException | IllegalArgumentException e) {
      throw PersimmonwalkException.of(
          ResultCode.PLATFORM_ANSWER_INVALID, "the stored object is not a valid configuration", e);
    }
  }

  private static Configuration decodeConfiguration(JsonNode tree) {
    Map<WorkspaceId, Workspace> workspaces = new LinkedHashMap<>();
    tree.required("workspaces").forEach(item -> put(workspaces, decodeWorkspace(item)));
    Map<KeyHash, CallerKey> keys = new LinkedHashMap<>();
    tree.required("keys").forEach(item -> put(keys, decodeKey(item)));
    Map<DatabaseGroupId, DatabaseGroup> groups = new LinkedHashMap<>();
    tree.required("groups").forEach(item -> put(groups, decodeGroup(item)));
    return new Configuration(
        Revision.of(tree.required("revision").longValue()),
        ReleaseNoteId.of(text(tree, "note")),
        workspaces,
        keys,
        groups);
  }

  private static void encode(ObjectNode tree, Workspace workspace) {
    tree.put("id", workspace.id().value());
    tree.put("rate", workspace.rate());
    tree.put("burst", workspace.burst());
    tree.put("open", workspace.open());
    ArrayNode groups = tree.putArray("groups");
    workspace.groups().forEach(group -> groups.add(group.value()));
  }

  private static Workspace decodeWorkspace(JsonNode tree) {
    Set<DatabaseGroupId> groups = new HashSet<>();
    tree.required("groups").forEach(group -> groups.add(DatabaseGroupId.of(group.textValue())));
    return new Workspace(
        WorkspaceId.of(text(tree, "id")),
        tree.required("rate").doubleValue(),
        tree.required("burst").doubleValue(),
        groups,
        tree.required("open").booleanValue());
  }

  private static void put(Map<WorkspaceId, Workspace> workspaces, Workspace workspace) {
    workspaces.put(workspace.id(), workspace);
  }

  private static void encode(ObjectNode tree, CallerKey key) {
    tree.put("hash", key.hash().value());
    tree.put("workspace", key.workspace().value());
  }

  private static CallerKey decodeKey(JsonNode tree) {
    return CallerKey.of(KeyHash.of(text(tree, "hash")), WorkspaceId.of(text(tree, "workspace")));
  }

  private static void put(Map<KeyHash, CallerKey> keys, CallerKey key) {
    keys.put(key.hash(), key);
  }

  private static void encode(ObjectNode tree, DatabaseGroup group) {
    tree.put("id", group.id().value());
    tree.put("defaultMaximumAgeMilliseconds", group.defaultMaximumAge().toMillis());
    ArrayNode servers = tree.putArray("servers");
    group.servers().forEach(server -> encode(servers.addObject(), server));
  }

  private static DatabaseGroup decodeGroup(JsonNode tree) {
    List<BackendServer> servers = new ArrayList<>();
    tree.required("servers").forEach(server -> servers.add(decodeServer(server)));
    return DatabaseGroup.of(
        DatabaseGroupId.of(text(tree, "id")),
        servers,
        Duration.ofMillis(tree.required("defaultMaximumAgeMilliseconds").longValue()));
  }

  private static void put(Map<DatabaseGroupId, DatabaseGroup> groups, DatabaseGroup group) {
    groups.put(group.id(), group);
  }

  private static void encode(ObjectNode tree, BackendServer server) {
    tree.put("id", server.id().value());
    tree.put("zone", server.zone().value());
    tree.put("endpoint", server.endpoint().toString());
    tree.put("slots", server.slots());
    tree.put("connections", server.connections());
    tree.put("leaving", server.leaving());
  }

  private static BackendServer decodeServer(JsonNode tree) {
    return new BackendServer(
        BackendServerId.of(text(tree, "id")),
        AvailabilityZone.of(text(tree, "zone")),
        SocketEndpoint.parse(text(tree, "endpoint")),
        tree.required("slots").intValue(),
        tree.required("connections").intValue(),
        tree.required("leaving").booleanValue());
  }

  private static String text(JsonNode tree, String name) {
    return tree.required(name).textValue();
  }
}
