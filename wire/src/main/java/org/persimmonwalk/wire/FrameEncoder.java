package org.persimmonwalk.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;

/** Encodes frames as bytes. */
@Sharable
public final class FrameEncoder extends MessageToByteEncoder<Frame> {

  private FrameEncoder() {
    super(Frame.class);
  }

  /** Returns the encoder. */
  public static FrameEncoder create() {
    return new FrameEncoder();
  }

  @Override
  protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf output) {
    if (!frame.is(MessageType.STARTUP)) {
      output.writeByte(frame.type());
    }
    ByteBuf payload = frame.content();
    output.writeInt(payload.readableBytes() + Integer.BYTES);
    output.writeBytes(payload, payload.readerIndex(), payload.readableBytes());
  }
}
