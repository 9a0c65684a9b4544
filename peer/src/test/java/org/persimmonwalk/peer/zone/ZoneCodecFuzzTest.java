package org.persimmonwalk.peer.zone;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.List;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.control.ServerList;
import org.persimmonwalk.engine.control.ZoneReply;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.peer.generated.zone.ServerMessage;
import org.persimmonwalk.peer.generated.zone.ZoneReplyMessage;
import org.persimmonwalk.peer.generated.zone.ZoneRequestMessage;
import org.persimmonwalk.testing.MutatedInput;
import org.persimmonwalk.testing.SmallStack;

/**
 * Guards against messages of other hosts that are answered with anything but a value or one of the
 * two documented exceptions, or that overstate how long something is valid.
 */
class ZoneCodecFuzzTest {
  private static final int TRIES = 10_000;

  @Provide
  Arbitrary<byte[]> replies() {
    return MutatedInput.of(
        List.of(ZoneCodec.encode(3, ZoneExchangeTest.fullReply()).toByteArray()));
  }

  @Provide
  Arbitrary<byte[]> requests() {
    return MutatedInput.of(
        List.of(
            ZoneCodec.encode(
                    3, ZoneExchangeTest.command(SocketEndpoint.of("127.0.0.1", 1)).request())
                .toByteArray()));
  }

  @Property(
      tries = TRIES,
      seed = "1712",
      edgeCases = EdgeCasesMode.NONE,
      shrinking = ShrinkingMode.BOUNDED)
  void shouldDecodeOrRejectAnyReply(@ForAll("replies") byte[] message) {
    SmallStack.run(
        () -> {
          try {
            ZoneReplyMessage decoded = ZoneReplyMessage.parseFrom(message);
            ZoneReply reply = ZoneCodec.decode(decoded);
            ZoneCodec.decodeTokens(decoded);
            assertThat(reply.verifiedAge().filter(Duration::isNegative)).isEmpty();
            assertThat(reply.servers().map(ServerList::age).filter(Duration::isNegative)).isEmpty();
          } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return; // the documented answers to invalid input
          }
        });
  }

  @Property(
      tries = TRIES,
      seed = "1713",
      edgeCases = EdgeCasesMode.NONE,
      shrinking = ShrinkingMode.BOUNDED)
  void shouldDecodeOrRejectAnyRequest(@ForAll("requests") byte[] message) {
    SmallStack.run(
        () -> {
          try {
            ZoneRequestMessage decoded = ZoneRequestMessage.parseFrom(message);
            ZoneCodec.decode(decoded);
            ZoneCodec.decodeTokens(3, decoded);
          } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return; // the documented answers to invalid input
          }
        });
  }

  /** Guards against an age in the future, which would extend the validity of a verification. */
  @Test
  void shouldRejectAReplyWithANegativeAge() {
    ZoneReplyMessage message =
        ZoneCodec.encode(3, ZoneExchangeTest.fullReply()).toBuilder()
            .setVerifiedAgeMicroseconds(-1)
            .build();

    assertThatThrownBy(() -> ZoneCodec.decode(message))
        .isInstanceOf(IllegalArgumentException.class);
  }

  /** Guards against a number above 2^31 that is read as a negative load. */
  @Test
  void shouldRejectANegativeLoad() {
    ZoneReplyMessage.Builder message =
        ZoneCodec.encode(3, ZoneExchangeTest.fullReply()).toBuilder();
    message.getLoadsBuilder(0).setAnswers(-1);

    assertThatThrownBy(() -> ZoneCodec.decode(message.build()))
        .isInstanceOf(IllegalArgumentException.class);
  }

  /** Guards against losing a whole list for an entry that a relay of an older version accepted. */
  @Test
  void shouldSkipAnInvalidServerInARelayedList() {
    ZoneReplyMessage.Builder message =
        ZoneCodec.encode(3, ZoneExchangeTest.fullReply()).toBuilder();
    ServerMessage valid = message.getServers().getServers(0);
    message
        .getServersBuilder()
        .addServers(valid.toBuilder().setId("s2").setSlots(-3))
        .addServers(valid.toBuilder().setId("s3").setPort(99_999))
        .addServers(valid.toBuilder().setId("s4").setAddress("db.example"));

    assertThat(ZoneCodec.decode(message.build()).servers().orElseThrow().entries())
        .extracting(entry -> entry.id().value())
        .containsExactly("s1");
  }

  /** Guards against a loss in the future, which would keep a server cold for as long as it says. */
  @Test
  void shouldRejectARestartNoticeWithANegativeAge() {
    ZoneReplyMessage.Builder message =
        ZoneCodec.encode(3, ZoneExchangeTest.fullReply()).toBuilder();
    message.getRestartNoticesBuilder(0).setAgeMilliseconds(-1);

    assertThatThrownBy(() -> ZoneCodec.decode(message.build()))
        .isInstanceOf(IllegalArgumentException.class);
  }

  /** Guards against a reply that is lost for a notice that nobody needs any more. */
  @Test
  void shouldSkipARestartNoticeThatIsTooOld() {
    ZoneReplyMessage.Builder message =
        ZoneCodec.encode(3, ZoneExchangeTest.fullReply()).toBuilder();
    message.getRestartNoticesBuilder(0).setAgeMilliseconds(Long.MAX_VALUE);

    assertThat(ZoneCodec.decode(message.build()).restartNotices()).isEmpty();
  }
}
