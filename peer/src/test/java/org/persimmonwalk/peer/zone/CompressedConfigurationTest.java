package org.persimmonwalk.peer.zone;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.zip.Deflater;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.DatabaseName;
import org.persimmonwalk.engine.GroupSettings;
import org.persimmonwalk.engine.RateLimit;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.control.ServerLoadReport;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.StoreVersion;
import org.persimmonwalk.engine.control.ZoneReply;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.peer.generated.zone.ZoneReplyMessage;

class CompressedConfigurationTest {
  private static final DatabaseGroupId GROUP = DatabaseGroupId.of("tanks");
  private static final int ROUTES = 1600;
  private static final int WORKSPACES = 72;

  /** A relay with a link of 2 Mbit/s sends this to 31 hosts in 1.9 s. */
  private static final int MAXIMUM_COMPRESSED_BYTES = 15_000;

  private final CompressedConfiguration compressed = new CompressedConfiguration();

  static RoutingConfiguration largeConfiguration() {
    Map<DatabaseName, Route> routes = new HashMap<>();
    for (int i = 0; i < ROUTES; i++) {
      DatabaseName name = DatabaseName.of("idle-route-" + i * 7919 % 100_003);
      routes.put(
          name,
          new Route(
              name,
              GROUP,
              RouteKind.values()[i % 3],
              Duration.ofMillis(2500),
              Duration.ofMillis(250),
              i % 3,
              Duration.ofMillis(1500),
              false));
    }
    Map<KeyHash, WorkspaceId> keys = new HashMap<>();
    Map<WorkspaceId, RateLimit> limits = new HashMap<>();
    for (int i = 0; i < WORKSPACES; i++) {
      WorkspaceId workspace = WorkspaceId.of("workspace-" + i);
      keys.put(KeyHash.ofKey("key" + i), workspace);
      limits.put(workspace, new RateLimit(10 + i, 20 + i));
    }
    return new RoutingConfiguration(
        7, routes, Map.of(GROUP, new GroupSettings(54, 0)), keys, limits, Duration.ofSeconds(3));
  }

  static ZoneReply reply(Duration verifiedAge, Duration configurationAge) {
    return new ZoneReply(
        true,
        StoreEra.of(1),
        Optional.of(verifiedAge),
        Optional.of(configurationAge),
        StoreVersion.of(StoreEra.of(1), 3),
        Optional.empty(),
        Map.of(),
        Optional.of(largeConfiguration()),
        Optional.empty(),
        List.of(),
        1,
        ServerLoadReport.NONE,
        List.of());
  }

  /** Guards against fields that are lost by the compression, and against hardly any compression. */
  @Test
  void shouldDeliverALargeConfigurationInFewBytes() {
    RoutingConfiguration configuration = largeConfiguration();
    ByteString bytes = compressed.compress(configuration);

    assertThat(CompressedConfiguration.decompress(bytes)).isEqualTo(configuration);
    assertThat(bytes.size()).isLessThan(MAXIMUM_COMPRESSED_BYTES);
  }

  /** Guards against the work of the compression for each of 31 hosts. */
  @Test
  void shouldCompressAConfigurationOnce() {
    RoutingConfiguration configuration = largeConfiguration();

    assertThat(compressed.compress(configuration)).isSameAs(compressed.compress(configuration));
  }

  /** Guards against an error other than the one by which a reply counts as missing. */
  @Test
  void shouldRefuseBytesThatAreNoConfiguration() {
    ByteString bytes = compressed.compress(largeConfiguration());

    assertThatThrownBy(() -> CompressedConfiguration.decompress(ByteString.copyFromUtf8("x")))
        .isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(() -> CompressedConfiguration.decompress(bytes.substring(0, 1000)))
        .isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(() -> CompressedConfiguration.decompress(deflated(new byte[1000])))
        .isInstanceOf(IllegalArgumentException.class);
  }

  /** Guards against a few bytes that fill the memory of a host. */
  @Test
  void shouldRefuseAConfigurationThatIsTooLarge() {
    byte[] zeros = new byte[64 * 1024 * 1024];
    // A field of 64 MiB that no version of the message has.
    byte[] header = {(byte) 0xfa, 0x7f, (byte) 0x80, (byte) 0x80, (byte) 0x80, 0x1f};
    System.arraycopy(header, 0, zeros, 0, header.length);

    assertThatThrownBy(() -> CompressedConfiguration.decompress(deflated(zeros)))
        .isInstanceOf(IllegalArgumentException.class);
  }

  private static ByteString deflated(byte[] bytes) {
    Deflater deflater = new Deflater();
    try {
      deflater.setInput(bytes);
      deflater.finish();
      byte[] output = new byte[bytes.length / 100 + 1000];
      return ByteString.copyFrom(output, 0, deflater.deflate(output));
    } finally {
      deflater.end();
    }
  }

  /**
   * Guards against a host that counts the relay's verification of the other rows as one of the
   * configuration, and against a host of an older build that does, as it reads one age only.
   */
  @Test
  void shouldDeliverBothAges() throws Exception {
    ZoneReply reply = reply(Duration.ofMillis(300), Duration.ofMillis(1900));
    ZoneReplyMessage message =
        ZoneReplyMessage.parseFrom(ZoneCodec.encode(1, reply, compressed::compress).toByteArray());

    assertThat(ZoneCodec.decode(message)).isEqualTo(reply);
    assertThat(message.hasConfiguration()).isFalse();
    assertThat(message.getVerifiedAgeMicroseconds()).isEqualTo(1_900_000);
  }

  /** Guards against a compressed configuration for a host that would take it for none. */
  @Test
  void shouldSendOlderBuildsTheConfigurationAsBefore() {
    ZoneReply reply = reply(Duration.ofMillis(300), Duration.ofMillis(300));
    ZoneReplyMessage message = ZoneCodec.encode(1, reply);

    assertThat(message.hasConfiguration()).isTrue();
    assertThat(message.getCompressedConfiguration().isEmpty()).isTrue();
    assertThat(ZoneCodec.decode(message)).isEqualTo(reply);
  }
}
