package org.persimmonwalk.internal.standin.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.SocketEndpoint;

/** Parses requests from HTTP methods, paths and JSON bodies, and encodes answers as JSON. */
final class PlatformJson {
  private static final String VERSION = "version";
  private static final String LEAVING = "leaving";

  private final ObjectMapper mapper = new ObjectMapper();

  private PlatformJson() {}

  static PlatformJson create() {
    return new PlatformJson();
  }

  /**
   * Returns the request, or nothing if the platform has no such path or method.
   *
   * @param path the decoded segments of the path
   * @throws IOException if the body is malformed
   * @throws IllegalArgumentException if an id, a zone or an endpoint is invalid
   */
  Optional<PlatformRequest> request(String method, List<String> path, byte[] body)
      throws IOException {
    String key = method + " " + path.get(0) + "/" + (path.size() - 1);
    return switch (key) {
      case "GET tables/2" -> Optional.of(new PlatformRequest.ReadRow(path.get(1), path.get(2)));
      case "PUT tables/2" -> Optional.of(writeRow(path.get(1), path.get(2), body));
      case "GET objects/1" -> Optional.of(new PlatformRequest.ReadObject(path.get(1)));
      case "PUT objects/1" -> Optional.of(new PlatformRequest.WriteObject(path.get(1), body));
      case "GET hosts/0" -> Optional.of(new PlatformRequest.ListHosts());
      case "PUT hosts/1" -> Optional.of(new PlatformRequest.PutHost(host(path.get(1), body)));
      case "DELETE hosts/1" ->
          Optional.of(new PlatformRequest.RemoveHost(EntryHostId.of(path.get(1))));
      default -> Optional.empty();
    };
  }

  /** Returns the HTTP body of an answer. */
  byte[] body(PlatformAnswer answer) {
    if (answer instanceof PlatformAnswer.StoredObject object) {
      return object.content();
    }
    try {
      return mapper.writeValueAsBytes(tree(answer));
    } catch (JsonProcessingException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }

  private JsonNode tree(PlatformAnswer answer) throws JsonProcessingException {
    if (answer instanceof PlatformAnswer.Row row) {
      JsonNode content = mapper.readTree(row.content());
      return mapper.createObjectNode().put(VERSION, row.version()).set("content", content);
    } else if (answer instanceof PlatformAnswer.Written written) {
      return mapper.createObjectNode().put(VERSION, written.version());
    } else if (answer instanceof PlatformAnswer.Conflict conflict) {
      return mapper.createObjectNode().put(VERSION, conflict.version());
    } else if (answer instanceof PlatformAnswer.Hosts hosts) {
      ArrayNode list = mapper.createArrayNode();
      hosts.hosts().forEach(host -> list.add(tree(host)));
      return list;
    }
    return mapper.createObjectNode();
  }

  private JsonNode tree(HostEntry host) {
    return mapper
        .createObjectNode()
        .put("id", host.id().value())
        .put("zone", host.zone().value())
        .put("peerEndpoint", host.endpoint().toString())
        .put("state", host.leaving() ? LEAVING : "live");
  }

  private PlatformRequest writeRow(String table, String row, byte[] body) throws IOException {
    JsonNode tree = mapper.readTree(body);
    if (!tree.path("expectedVersion").isIntegralNumber() || !tree.has("content")) {
      throw new IOException("expectedVersion and content are required");
    }
    String content = mapper.writeValueAsString(tree.get("content"));
    return new PlatformRequest.WriteRow(
        table, row, tree.get("expectedVersion").longValue(), content);
  }

  private HostEntry host(String id, byte[] body) throws IOException {
    JsonNode tree = mapper.readTree(body);
    return new HostEntry(
        EntryHostId.of(id),
        AvailabilityZone.of(tree.path("zone").asText()),
        SocketEndpoint.parse(tree.path("peerEndpoint").asText()),
        tree.path("state").asText().equals(LEAVING));
  }
}
