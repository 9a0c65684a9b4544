package org.persimmonwalk.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.util.List;

/**
 * Splits a byte stream into frames. The decoder of a server expects start-up messages, which have
 * no type byte, until {@link #endStartup} is called; that of a client expects none. Runs on the
 * event loop of the connection.
 */
public final class FrameDecoder extends ByteToMessageDecoder {
  private static final int LENGTH_BYTES = Integer.BYTES;

  /** Start-up messages have few and short parameters; PostgreSQL itself uses this limit. */
  private static final int MAXIMUM_STARTUP_BYTES = 10_000;

  private final int maximumFrameBytes;
  private boolean startup;
  private long messages;

  private FrameDecoder(int maximumFrameBytes, boolean startup) {
    this.maximumFrameBytes = maximumFrameBytes;
    this.startup = startup;
  }

  /**
   * Returns a decoder for the server side of a connection.
   *
   * @param maximumFrameBytes the largest payload accepted, in bytes
   */
  public static FrameDecoder forServer(int maximumFrameBytes) {
    return new FrameDecoder(maximumFrameBytes, true);
  }

  /**
   * Returns a decoder for the client side of a connection.
   *
   * @param maximumFrameBytes the largest payload accepted, in bytes
   */
  public static FrameDecoder forClient(int maximumFrameBytes) {
    return new FrameDecoder(maximumFrameBytes, false);
  }

  /** Ends the start-up phase; later messages have a type byte. */
  public void endStartup() {
    startup = false;
  }

  /** Returns whether a message has arrived only in part. */
  public boolean hasPartialMessage() {
    return actualReadableBytes() > 0;
  }

  /** Returns the number of messages decoded so far. */
  public long messages() {
    return messages;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output) {
    int typeBytes = startup ? 0 : 1;
    if (input.readableBytes() < typeBytes + LENGTH_BYTES) {
      return;
    }
    int start = input.readerIndex();
    int payloadBytes = input.getInt(start + typeBytes) - LENGTH_BYTES;
    checkSize(payloadBytes);
    if (input.readableBytes() < typeBytes + LENGTH_BYTES + payloadBytes) {
      return;
    }
    byte type = startup ? MessageType.STARTUP : input.getByte(start);
    input.skipBytes(typeBytes + LENGTH_BYTES);
    messages++;
    output.add(Frame.of(type, input.readRetainedSlice(payloadBytes)));
  }

  private void checkSize(int payloadBytes) {
    if (payloadBytes < 0) {
      throw new CorruptedFrameException(
          "message length " + (payloadBytes + LENGTH_BYTES) + " is less than 4 bytes");
    }
    int limit = startup ? MAXIMUM_STARTUP_BYTES : maximumFrameBytes;
    if (payloadBytes > limit) {
      throw new TooLongFrameException(
          "message of " + payloadBytes + " bytes is larger than the limit of " + limit + " bytes");
    }
  }
}
