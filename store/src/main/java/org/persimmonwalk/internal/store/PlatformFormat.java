package org.persimmonwalk.internal.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.RowValue;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.model.VersionedRow;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.store.RowCodec;
import org.tinylog.Logger;

/** Writes the JSON of requests to the platform and reads that of its responses. */
public final class PlatformFormat {
  private final ObjectMapper mapper =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private PlatformFormat() {}

  /** Returns the format. */
  public static PlatformFormat create() {
    return new PlatformFormat();
  }

  /** Returns the body of a compare-and-set request. */
  public <T extends RowValue> byte[] writeRequest(RowVersion expected, T value, RowCodec<T> codec) {
    try {
      return mapper.writeValueAsBytes(
          mapper
              .createObjectNode()
              .put("expectedVersion", expected.number())
              .set("content", codec.encode(value)));
    } catch (JsonProcessingException failure) {
      throw new IllegalArgumentException(
          "row content of type " + codec.type().getSimpleName() + " cannot be written as JSON",
          failure);
    }
  }

  /**
   * Reads a row.
   *
   * @throws PersimmonwalkException with code {@link ResultCode#PLATFORM_ANSWER_INVALID} if the body
   *     is not a row whose content the codec can read
   */
  public VersionedRow row(byte[] body, RowCodec<?> codec) {
    JsonNode tree = tree(body);
    RowVersion version = version(tree);
    try {
      return VersionedRow.of(version, codec.decode(tree.path("content")));
    } catch (RuntimeException failure) {
      throw invalid("the row's content cannot be read as " + codec.type().getSimpleName(), failure);
    }
  }

  /**
   * Reads the version of a row.
   *
   * @throws PersimmonwalkException with code {@link ResultCode#PLATFORM_ANSWER_INVALID} if the body
   *     has no valid version
   */
  public RowVersion version(byte[] body) {
    return version(tree(body));
  }

  /**
   * Reads the list of hosts. An invalid entry is skipped with a log line, as it names no host; the
   * others hold.
   *
   * @throws PersimmonwalkException with code {@link ResultCode#PLATFORM_ANSWER_INVALID} if the body
   *     is not a list
   */
  public List<HostEntry> hosts(byte[] body) {
    JsonNode tree = tree(body);
    if (!tree.isArray()) {
      throw invalid("the list of hosts is not an array", null);
    }
    List<HostEntry> hosts = new ArrayList<>();
    int skipped = 0;
    for (JsonNode entry : tree) {
      try {
        hosts.add(host(entry));
      } catch (IllegalArgumentException invalid) {
        skipped++;
      }
    }
    if (skipped > 0) {
      Logger.warn("skipped {} invalid entries of the list of hosts", skipped);
    }
    return List.copyOf(hosts);
  }

  private static HostEntry host(JsonNode tree) {
    String state = tree.path("state").asText();
    if (!state.equals("live") && !state.equals("leaving")) {
      throw new IllegalArgumentException("host state '" + state + "' is not live or leaving");
    }
    return new HostEntry(
        EntryHostId.of(tree.path("id").asText()),
        AvailabilityZone.of(tree.path("zone").asText()),
        SocketEndpoint.parse(tree.path("peerEndpoint").asText()),
        state.equals("leaving"));
  }

  private static RowVersion version(JsonNode tree) {
    JsonNode version = tree.path("version");
    if (!version.isIntegralNumber() || !version.canConvertToLong() || version.longValue() < 0) {
      throw invalid("the response has no valid version", null);
    }
    return RowVersion.of(version.longValue());
  }

  private JsonNode tree(byte[] body) {
    try {
      return mapper.readTree(body);
    } catch (IOException failure) {
      throw invalid("the response is not valid JSON", failure);
    }
  }

  private static PersimmonwalkException invalid(String reason, Throwable cause) {
    return PersimmonwalkException.of(
        ResultCode.PLATFORM_ANSWER_INVALID, reason + "; check the platform's version", cause);
  }
}
