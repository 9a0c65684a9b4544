package org.persimmonwalk.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.ssl.NotSslRecordException;
import io.netty.util.concurrent.ImmediateEventExecutor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import javax.net.ssl.SSLHandshakeException;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.PeerMessage;
import org.persimmonwalk.peer.PeerCodec;
import org.persimmonwalk.peer.PeerEnvelope;
import org.persimmonwalk.peer.PeerMessages;
import org.persimmonwalk.peer.PeerSecurity;
import org.persimmonwalk.peer.PeerSettings;

class InboundHandlerTest {
  private static final EntryHostId SELF = EntryHostId.of("self");
  private static final PeerSettings SETTINGS =
      new PeerSettings(
          Duration.ofSeconds(1),
          Duration.ofSeconds(60),
          Duration.ofMillis(100),
          Duration.ofSeconds(5),
          16,
          2);

  private final List<PeerMessage> received = new ArrayList<>();
  private final List<String> reports = new ArrayList<>();
  private final InboundInitializer initializer =
      InboundInitializer.of(
          SELF,
          SETTINGS,
          PeerSecurity.plainText(),
          new DefaultChannelGroup(ImmediateEventExecutor.INSTANCE),
          (from, message) -> received.add(message),
          (remote, reason) -> reports.add(reason));

  /** Guards against a decoder that needs each frame to arrive in one read. */
  @Test
  void shouldDecodeFramesSplitAcrossReads() {
    EmbeddedChannel channel = new EmbeddedChannel(initializer);
    for (PeerMessage message : PeerMessages.all()) {
      ByteBuf frame = frame("peer", "self", message);
      while (frame.isReadable()) {
        channel.writeInbound(frame.readBytes(Math.min(frame.readableBytes(), 11)));
      }
    }
    assertThat(received).isEqualTo(PeerMessages.all());
    assertThat(channel.isOpen()).isTrue();
  }

  /** Guards against a hostile peer that disrupts the connections of other peers. */
  @Test
  void shouldCloseOnlyTheConnectionWithMalformedData() {
    EmbeddedChannel honest = new EmbeddedChannel(initializer);
    List<ByteBuf> hostile =
        List.of(
            Unpooled.buffer().writeInt(PeerSettings.FRAME_LIMIT + 1),
            Unpooled.buffer().writeInt(-5),
            Unpooled.buffer().writeInt(4).writeInt(0x7f7f7f7f),
            Unpooled.copiedBuffer(new byte[] {'G', 'E', 'T', ' ', '/'}),
            Unpooled.buffer().writeInt(0),
            Unpooled.wrappedBuffer(
                frame("peer", "self", PeerMessages.request(1)),
                frame("other", "self", PeerMessages.request(1))));
    for (ByteBuf bytes : hostile) {
      received.clear();
      reports.clear();
      EmbeddedChannel channel = new EmbeddedChannel(initializer);
      channel.writeInbound(
          Unpooled.wrappedBuffer(bytes, frame("peer", "self", PeerMessages.request(2))));

      assertThat(channel.isOpen()).isFalse();
      assertThat(reports).hasSize(1);
      assertThat(received).doesNotContain(PeerMessages.request(2));
    }

    honest.writeInbound(frame("peer", "self", PeerMessages.request(3)));
    assertThat(received).contains(PeerMessages.request(3));
    assertThat(honest.isOpen()).isTrue();
  }

  /** Guards against handling messages to an earlier process at the same endpoint. */
  @Test
  void shouldIgnoreMessagesToAnotherHost() {
    EmbeddedChannel channel = new EmbeddedChannel(initializer);
    channel.writeInbound(frame("peer", "former", PeerMessages.request(1)));

    assertThat(received).isEmpty();
    assertThat(channel.isOpen()).isTrue();
  }

  /** Guards against a peer that opens an unlimited number of connections. */
  @Test
  void shouldLimitTheNumberOfConnections() {
    EmbeddedChannel first = new EmbeddedChannel(initializer);
    EmbeddedChannel second = new EmbeddedChannel(initializer);
    assertThat(new EmbeddedChannel(initializer).isOpen()).isFalse();
    assertThat(reports).hasSize(1);

    first.close();
    assertThat(new EmbeddedChannel(initializer).isOpen()).isTrue();
    assertThat(second.isOpen()).isTrue();
  }

  /**
   * Guards against log lines that omit why TLS failed, or that contain bytes that the peer sent.
   */
  @Test
  void shouldReportWhyTlsFailed() {
    new EmbeddedChannel(initializer)
        .pipeline()
        .fireExceptionCaught(
            new DecoderException(new SSLHandshakeException("Empty client certificate chain")));
    new EmbeddedChannel(initializer)
        .pipeline()
        .fireExceptionCaught(new NotSslRecordException("not an SSL/TLS record: 736563726574"));

    assertThat(reports).hasSize(2);
    assertThat(reports.get(0))
        .isEqualTo(
            "mutual TLS failed, check the certificates and authorities of both hosts:"
                + " Empty client certificate chain");
    assertThat(reports.get(1)).contains("plain text").doesNotContain("736563726574");
  }

  private static ByteBuf frame(String from, String to, PeerMessage message) {
    byte[] body =
        PeerCodec.encode(PeerEnvelope.of(EntryHostId.of(from), EntryHostId.of(to), message));
    return Unpooled.buffer().writeInt(body.length).writeBytes(body);
  }
}
