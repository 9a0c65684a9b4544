package org.persimmonwalk.peer.zone;

import com.google.protobuf.MessageLite;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/** Reads and writes the frames of a zone connection: a 4-byte length and a message. */
final class ZoneFrames {
  /** The largest message in bytes; a configuration of several thousand routes fits. */
  private static final int FRAME_LIMIT = 8 * 1024 * 1024;

  private static final int LENGTH_BYTES = 4;

  private ZoneFrames() {}

  static void addDecoder(ChannelPipeline pipeline) {
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(
            FRAME_LIMIT + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
  }

  static void write(Channel channel, MessageLite message) {
    byte[] body = message.toByteArray();
    ByteBuf frame = channel.alloc().buffer(LENGTH_BYTES + body.length);
    frame.writeInt(body.length).writeBytes(body);
    channel.writeAndFlush(frame);
  }
}
