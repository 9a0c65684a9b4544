package org.persimmonwalk.wire;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Reads the fields of a payload; a malformed field causes a {@link ProtocolException}. */
public final class PayloadReader {
  private static final int NULL_LENGTH = -1;

  private final ByteBuf payload;

  private PayloadReader(ByteBuf payload) {
    this.payload = payload;
  }

  /** Returns a reader at the start of the frame's payload; the frame still owns the payload. */
  public static PayloadReader of(Frame frame) {
    return new PayloadReader(frame.content().duplicate());
  }

  /** Reads a string that ends with a zero byte. */
  public String readString() {
    int length = payload.bytesBefore((byte) 0);
    if (length < 0) {
      throw new ProtocolException("a string in the message has no terminating zero byte");
    }
    String text = payload.toString(payload.readerIndex(), length, StandardCharsets.UTF_8);
    payload.skipBytes(length + 1);
    return text;
  }

  /** Reads one byte. */
  public byte readByte() {
    require(Byte.BYTES);
    return payload.readByte();
  }

  /** Reads an unsigned 16-bit count. */
  public int readCount() {
    require(Short.BYTES);
    return payload.readUnsignedShort();
  }

  /** Reads a 32-bit integer. */
  public int readInt() {
    require(Integer.BYTES);
    return payload.readInt();
  }

  /** Reads a value preceded by its length; returns null if it is SQL NULL. */
  public byte[] readValue() {
    int length = readInt();
    if (length == NULL_LENGTH) {
      return null;
    }
    if (length < 0) {
      throw new ProtocolException("a value in the message has the negative length " + length);
    }
    require(length);
    byte[] value = new byte[length];
    payload.readBytes(value);
    return value;
  }

  /** Returns whether there are bytes left to read. */
  public boolean hasMore() {
    return payload.isReadable();
  }

  private void require(int bytes) {
    if (payload.readableBytes() < bytes) {
      throw new ProtocolException(
          "the message is " + (bytes - payload.readableBytes()) + " bytes too short");
    }
  }
}
