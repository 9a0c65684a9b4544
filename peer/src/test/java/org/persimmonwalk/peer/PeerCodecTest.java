package org.persimmonwalk.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.ConfigurationReply;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.PeerMessage;
import org.persimmonwalk.model.ShareRequest;
import org.persimmonwalk.model.ShareTransfer;
import org.persimmonwalk.peer.generated.ConfigurationRequestMessage;
import org.persimmonwalk.peer.generated.Envelope;
import org.persimmonwalk.peer.generated.HeartbeatMessage;
import org.persimmonwalk.peer.generated.HostMessage;
import org.persimmonwalk.peer.generated.HostNewsMessage;
import org.persimmonwalk.peer.generated.ShareRequestMessage;
import org.persimmonwalk.peer.generated.ShareTransferMessage;
import org.persimmonwalk.peer.generated.TableRowMessage;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.testing.Configurations;
import org.persimmonwalk.testing.EncodedSize;

class PeerCodecTest {
  private static final EntryHostId FROM = EntryHostId.of("from");
  private static final EntryHostId TO = EntryHostId.of("to");
  private static final HostMessage HOST =
      HostMessage.newBuilder()
          .setId("host")
          .setZone("zone")
          .setAddress("127.0.0.1")
          .setPort(1)
          .build();

  /** Guards against fields that are lost by the encoding. */
  @Test
  void shouldDecodeEveryMessageUnchanged() {
    for (PeerMessage message : PeerMessages.all()) {
      PeerEnvelope envelope = PeerEnvelope.of(FROM, TO, message);
      assertThat(decode(PeerCodec.encode(envelope))).isEqualTo(envelope);
    }
  }

  /** Guards against encoded sizes that differ from those in the benchmark of module core. */
  @Test
  void shouldEncodeToTheSizeThatTheBenchmarkCountsAndBoundHeartbeats() {
    for (PeerMessage message : PeerMessages.all()) {
      if (message instanceof ShareRequest || message instanceof ShareTransfer) {
        continue;
      }
      int encoded = PeerCodec.encode(PeerEnvelope.of(FROM, TO, message)).length;
      assertThat(EncodedSize.create().of(FROM, TO, message)).isEqualTo(Integer.BYTES + encoded);
    }
    assertThat(PeerCodec.encode(PeerEnvelope.of(FROM, TO, PeerMessages.fullHeartbeat())))
        .hasSizeLessThan(1024);
  }

  /** Guards against a configuration of the target size that exceeds the frame limit. */
  @Test
  void shouldHoldConfigurationOfTargetSizeInOneFrame() {
    ConfigurationReply reply =
        new ConfigurationReply(
            Configurations.of(1, 570, 4000), Optional.empty(), MonotonicTime.of(1));

    assertThat(PeerCodec.encode(PeerEnvelope.of(FROM, TO, reply)))
        .hasSizeLessThan(PeerSettings.FRAME_LIMIT);
  }

  /** Guards against rounding an age down, which would overstate the freshness. */
  @Test
  void shouldRoundAgesUp() {
    ConfigurationReply reply =
        new ConfigurationReply(
            Configurations.of(1, 1, 1), Optional.of(Duration.ofNanos(1)), MonotonicTime.of(1));

    PeerMessage decoded = decode(PeerCodec.encode(PeerEnvelope.of(FROM, TO, reply))).message();
    assertThat(((ConfigurationReply) decoded).freshnessAge()).contains(Duration.ofMillis(1));
  }

  /** Guards against invalid values that make calculations on the control thread fail. */
  @Test
  void shouldRefuseMalformedMessages() {
    HeartbeatMessage heartbeat =
        HeartbeatMessage.newBuilder().setSender(HOST).setRevision(1).build();
    HostNewsMessage news = HostNewsMessage.newBuilder().setHost(HOST).build();
    List<Envelope> malformed =
        List.of(
            envelope().build(),
            envelope().setFrom("").setHeartbeat(heartbeat).build(),
            envelope().setHeartbeat(HeartbeatMessage.newBuilder().setRevision(1)).build(),
            envelope().setHeartbeat(heartbeat.toBuilder().setRevision(-1)).build(),
            envelope().setHeartbeat(heartbeat.toBuilder().setFreshnessAgeMilliseconds(-1)).build(),
            envelope()
                .setHeartbeat(
                    heartbeat.toBuilder().setFreshnessAgeMilliseconds(Long.MAX_VALUE / 1000))
                .build(),
            envelope()
                .setHeartbeat(heartbeat.toBuilder().setSender(HOST.toBuilder().setPort(-1)))
                .build(),
            envelope()
                .setHeartbeat(heartbeat.toBuilder().addAllHeard(Collections.nCopies(7, news)))
                .build(),
            envelope()
                .setConfigurationRequest(ConfigurationRequestMessage.newBuilder().setKnown(-1))
                .build(),
            envelope()
                .setShareTransfer(
                    ShareTransferMessage.newBuilder()
                        .setId("transfer")
                        .setRow(TableRowMessage.newBuilder().setTable("shares").setRow("oil"))
                        .setTokens(Double.NaN))
                .build());

    assertThat(decode(envelope().setHeartbeat(heartbeat).build().toByteArray())).isNotNull();
    for (Envelope envelope : malformed) {
      assertMalformed(envelope.toByteArray());
    }
    assertMalformed("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
  }

  /** Guards against invalid amounts and times of shares, which make the control thread fail. */
  @Test
  void shouldRefuseMalformedShares() {
    TableRowMessage row = TableRowMessage.newBuilder().setTable("shares").setRow("oil").build();
    ShareTransferMessage transfer =
        ShareTransferMessage.newBuilder().setId("transfer").setRow(row).build();
    ShareRequestMessage request =
        ShareRequestMessage.newBuilder().setId("transfer").setRow(row).build();
    List<Envelope> malformed =
        List.of(
            envelope().setShareTransfer(transfer.toBuilder().setRemainingMilliseconds(-1)).build(),
            envelope()
                .setShareTransfer(
                    transfer.toBuilder().setRemainingMilliseconds(Long.MAX_VALUE / 1000))
                .build(),
            envelope()
                .setShareTransfer(transfer.toBuilder().setTokens(Double.POSITIVE_INFINITY))
                .build(),
            envelope().setShareRequest(request.toBuilder().setHeld(-1)).build(),
            envelope().setShareRequest(request.toBuilder().setDemand(Double.NaN)).build(),
            envelope().setShareRequest(request.toBuilder().setTokens(-1)).build());

    assertThat(decode(envelope().setShareTransfer(transfer).build().toByteArray())).isNotNull();
    assertThat(decode(envelope().setShareRequest(request).build().toByteArray())).isNotNull();
    for (Envelope envelope : malformed) {
      assertMalformed(envelope.toByteArray());
    }
  }

  private static void assertMalformed(byte[] bytes) {
    assertThatThrownBy(() -> decode(bytes))
        .isInstanceOfSatisfying(
            PersimmonwalkException.class,
            failure -> assertThat(failure.code()).isEqualTo(ResultCode.MALFORMED_MESSAGE));
  }

  private static Envelope.Builder envelope() {
    return Envelope.newBuilder().setFrom("from").setTo("to");
  }

  private static PeerEnvelope decode(byte[] bytes) {
    return PeerCodec.decode(ByteBuffer.wrap(bytes));
  }
}
