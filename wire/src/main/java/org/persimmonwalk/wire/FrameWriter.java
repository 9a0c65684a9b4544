package org.persimmonwalk.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;

/**
 * Builds a frame field by field.
 *
 * <p>Example:
 *
 * <pre>{@code
 * Frame query = FrameWriter.of(allocator, MessageType.QUERY).string("SELECT 1").toFrame();
 * }</pre>
 */
public final class FrameWriter {
  private static final int NULL_LENGTH = -1;

  private final byte type;
  private final ByteBuf payload;

  private FrameWriter(byte type, ByteBuf payload) {
    this.type = type;
    this.payload = payload;
  }

  /** Returns a writer for a frame with an empty payload. */
  public static FrameWriter of(ByteBufAllocator allocator, byte type) {
    return new FrameWriter(type, allocator.buffer());
  }

  /** Appends a string and its terminating zero byte. */
  public FrameWriter string(String text) {
    payload.writeCharSequence(text, StandardCharsets.UTF_8);
    payload.writeByte(0);
    return this;
  }

  /** Appends a byte. */
  public FrameWriter byteValue(int value) {
    payload.writeByte(value);
    return this;
  }

  /** Appends a 16-bit integer. */
  public FrameWriter shortValue(int value) {
    payload.writeShort(value);
    return this;
  }

  /** Appends a 32-bit integer. */
  public FrameWriter intValue(int value) {
    payload.writeInt(value);
    return this;
  }

  /** Appends a value preceded by its length, or SQL NULL if the value is null. */
  public FrameWriter value(byte[] value) {
    if (value == null) {
      return intValue(NULL_LENGTH);
    }
    payload.writeInt(value.length);
    payload.writeBytes(value);
    return this;
  }

  /** Appends the readable bytes of the source except the first {@code skipped} ones. */
  public FrameWriter bytes(ByteBuf source, int skipped) {
    int start = source.readerIndex() + skipped;
    payload.writeBytes(source, start, source.readableBytes() - skipped);
    return this;
  }

  /** Returns the frame, which takes ownership of the payload. */
  public Frame toFrame() {
    return Frame.of(type, payload);
  }
}
