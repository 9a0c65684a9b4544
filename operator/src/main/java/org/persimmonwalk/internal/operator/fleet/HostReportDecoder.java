package org.persimmonwalk.internal.operator.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.HostPhase;
import org.persimmonwalk.model.LogPosition;
import org.persimmonwalk.model.ServerRole;
import org.persimmonwalk.model.Term;

/** Decodes the JSON document that an entry host returns for {@code GET /state}. */
final class HostReportDecoder {
  private static final ObjectMapper JSON = new ObjectMapper();

  private HostReportDecoder() {}

  static HostReportDecoder create() {
    return new HostReportDecoder();
  }

  /**
   * Decodes the state of a host.
   *
   * @throws IOException if the bytes are not JSON
   * @throws IllegalArgumentException if a field is missing or invalid
   */
  HostReport decode(byte[] content) throws IOException {
    JsonNode tree = JSON.readTree(content);
    return new HostReport(
        EntryHostId.of(text(tree, "host")),
        AvailabilityZone.of(text(tree, "zone")),
        HostPhase.valueOf(text(tree, "phase")),
        Revision.of(tree.required("revision").longValue()),
        age(tree, "freshnessAgeMilliseconds"),
        list(tree, "groups", HostReportDecoder::group),
        list(tree, "servers", HostReportDecoder::server),
        list(tree, "workspaces", HostReportDecoder::share));
  }

  private static HostReport.Group group(JsonNode tree) {
    return new HostReport.Group(
        DatabaseGroupId.of(text(tree, "id")),
        Term.of(tree.required("term").longValue()),
        optionalText(tree, "primary").map(BackendServerId::of),
        age(tree, "confirmedAgeMilliseconds"));
  }

  private static HostReport.Server server(JsonNode tree) {
    return new HostReport.Server(
        BackendServerId.of(text(tree, "id")),
        DatabaseGroupId.of(text(tree, "group")),
        tree.required("leaving").booleanValue(),
        tree.required("role").isNull() ? Optional.empty() : Optional.of(sample(tree)),
        age(tree, "failingMilliseconds"));
  }

  private static HostReport.Sample sample(JsonNode tree) {
    return new HostReport.Sample(
        ServerRole.valueOf(text(tree, "role")),
        Term.of(tree.required("term").longValue()),
        LogPosition.parse(text(tree, "received")),
        LogPosition.parse(text(tree, "replayed")),
        age(tree, "sampleAgeMilliseconds").orElse(Duration.ZERO),
        age(tree, "dataAgeMilliseconds"));
  }

  private static HostReport.WorkspaceShare share(JsonNode tree) {
    return new HostReport.WorkspaceShare(
        WorkspaceId.of(text(tree, "id")),
        tree.required("rate").doubleValue(),
        tree.required("burst").doubleValue(),
        tree.required("shareRate").doubleValue(),
        tree.required("demand").doubleValue());
  }

  private static <T> List<T> list(JsonNode tree, String name, Function<JsonNode, T> decoder) {
    List<T> items = new ArrayList<>();
    tree.required(name).forEach(item -> items.add(decoder.apply(item)));
    return items;
  }

  private static String text(JsonNode tree, String name) {
    return optionalText(tree, name)
        .orElseThrow(() -> new IllegalArgumentException("the field " + name + " is null"));
  }

  private static Optional<String> optionalText(JsonNode tree, String name) {
    JsonNode text = tree.required(name);
    if (!text.isTextual() && !text.isNull()) {
      throw new IllegalArgumentException("the field " + name + " is not a string");
    }
    return Optional.ofNullable(text.textValue());
  }

  private static Optional<Duration> age(JsonNode tree, String name) {
    JsonNode age = tree.required(name);
    return age.isNull() ? Optional.empty() : Optional.of(Duration.ofMillis(age.longValue()));
  }
}
