package org.persimmonwalk.peer.zone;

import com.google.protobuf.MessageLite;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import org.persimmonwalk.engine.ByteBudget;

/** Reads and writes the frames of a zone connection: a 4-byte length and a message. */
final class ZoneFrames {
  /** The largest message in bytes; a configuration of several thousand routes fits. */
  private static final int FRAME_LIMIT = 8 * 1024 * 1024;

  private static final int LENGTH_BYTES = 4;

  private ZoneFrames() {}

  /** Adds the decoder for the replies of a host that this one has connected to. */
  static void addDecoder(ChannelPipeline pipeline) {
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(
            FRAME_LIMIT + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
  }

  /**
   * Adds the decoder for the requests of any client that connects.
   *
   * @param account charged for messages that are not complete yet
   */
  static void addDecoder(ChannelPipeline pipeline, ByteBudget.Account account) {
    pipeline.addLast(new ChargedDecoder(account));
  }

  /** Charges an account for the bytes that wait for the rest of their message. */
  private static final class ChargedDecoder extends LengthFieldBasedFrameDecoder {
    private final ByteBudget.Account account;
    private int charged;

    ChargedDecoder(ByteBudget.Account account) {
      super(FRAME_LIMIT + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
      this.account = account;
    }

    @Override
    protected Object decode(ChannelHandlerContext context, ByteBuf in) throws Exception {
      Object frame = super.decode(context, in);
      if (frame != null) {
        account.remove(charged);
        charged = 0;
      } else {
        account.add(in.readableBytes() - charged);
        charged = in.readableBytes();
      }
      return frame;
    }
  }

  /** Writes a message; the connection is closed if that fails, so that its other end notices. */
  static void write(Channel channel, MessageLite message) {
    byte[] body = message.toByteArray();
    ByteBuf frame = channel.alloc().buffer(LENGTH_BYTES + body.length);
    frame.writeInt(body.length).writeBytes(body);
    channel.writeAndFlush(frame).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }
}
