package org.persimmonwalk.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.util.Map;
import org.junit.jupiter.api.Test;

class FrameDecoderTest {
  private static final int LIMIT = 1_000;

  private final Messages messages = Messages.of(UnpooledByteBufAllocator.DEFAULT);

  /** Guards against a decoder that needs a message to arrive in one read. */
  @Test
  void shouldDecodeMessageThatArrivesByteByByte() {
    EmbeddedChannel channel = new EmbeddedChannel(FrameDecoder.forClient(LIMIT));
    ByteBuf bytes = encode(messages.query("SELECT 1"));

    while (bytes.isReadable()) {
      channel.writeInbound(bytes.readRetainedSlice(1));
    }

    Frame frame = channel.readInbound();
    assertThat(frame.type()).isEqualTo(MessageType.QUERY);
    assertThat(PayloadReader.of(frame).readString()).isEqualTo("SELECT 1");
    frame.release();
    bytes.release();
  }

  /** Guards against a decoder that expects a type byte too early or too late. */
  @Test
  void shouldReadStartupThenTypedMessages() {
    FrameDecoder decoder = FrameDecoder.forServer(LIMIT);
    EmbeddedChannel channel = new EmbeddedChannel(decoder);

    channel.writeInbound(encode(messages.startup(Map.of("user", "oil"))));
    Frame startup = channel.readInbound();
    decoder.endStartup();
    channel.writeInbound(encode(messages.sync()));
    Frame sync = channel.readInbound();

    assertThat(StartupRequest.parse(startup))
        .isEqualTo(new StartupRequest.Start(Map.of("user", "oil")));
    assertThat(sync.type()).isEqualTo(MessageType.SYNC);
    startup.release();
    sync.release();
  }

  /** Guards against a caller that makes the host buffer an unlimited number of bytes. */
  @Test
  void shouldRejectMessageOverLimitBeforeItArrives() {
    EmbeddedChannel channel = new EmbeddedChannel(FrameDecoder.forClient(LIMIT));
    ByteBuf header = Unpooled.buffer().writeByte('Q').writeInt(1_000_000_000);

    assertThatThrownBy(() -> channel.writeInbound(header))
        .isInstanceOf(TooLongFrameException.class)
        .hasMessageContaining("1000 bytes");
  }

  /** Guards against a negative payload size, which would break the decoder. */
  @Test
  void shouldRejectLengthBelowItsOwnSize() {
    EmbeddedChannel channel = new EmbeddedChannel(FrameDecoder.forClient(LIMIT));
    ByteBuf header = Unpooled.buffer().writeByte('Q').writeInt(3);

    assertThatThrownBy(() -> channel.writeInbound(header))
        .isInstanceOf(CorruptedFrameException.class);
  }

  /** Guards against reading past the end of a payload. */
  @Test
  void shouldReportStringWithoutTerminator() {
    Frame frame = Frame.of(MessageType.QUERY, Unpooled.copiedBuffer(new byte[] {'a', 'b'}));

    assertThatThrownBy(() -> PayloadReader.of(frame).readString())
        .isInstanceOf(ProtocolException.class);
    frame.release();
  }

  /** Guards against error fields that are lost or swapped by the encoding. */
  @Test
  void shouldParseEncodedErrorFields() {
    ErrorFields fields = ErrorFields.error("25006", "read-only");
    Frame frame = messages.error(fields);

    assertThat(ErrorFields.parse(frame)).isEqualTo(fields);
    frame.release();
  }

  private static ByteBuf encode(Frame frame) {
    EmbeddedChannel channel = new EmbeddedChannel(FrameEncoder.create());
    channel.writeOutbound(frame);
    return channel.readOutbound();
  }
}
