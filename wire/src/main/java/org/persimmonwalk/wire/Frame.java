package org.persimmonwalk.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufHolder;
import io.netty.buffer.DefaultByteBufHolder;

/**
 * One message of the PostgreSQL v3 protocol: the type byte, and the payload without type and
 * length. The messages of the start-up phase have no type byte; {@link MessageType#STARTUP} takes
 * its place.
 *
 * <p>A frame owns its payload, and the last user of a frame must release it.
 */
public final class Frame extends DefaultByteBufHolder {
  private final byte type;

  private Frame(byte type, ByteBuf payload) {
    super(payload);
    this.type = type;
  }

  /** Returns a frame that takes ownership of the payload. */
  public static Frame of(byte type, ByteBuf payload) {
    return new Frame(type, payload);
  }

  /** Returns the type byte. */
  public byte type() {
    return type;
  }

  /** Returns whether the frame has the given type byte. */
  public boolean is(byte expected) {
    return type == expected;
  }

  /** Returns the size on the wire in bytes, with type and length. */
  public int wireSize() {
    return 1 + Integer.BYTES + content().readableBytes();
  }

  @Override
  public Frame replace(ByteBuf content) {
    return new Frame(type, content);
  }

  @Override
  public Frame retain() {
    super.retain();
    return this;
  }

  @Override
  public Frame touch(Object hint) {
    super.touch(hint);
    return this;
  }

  @Override
  public ByteBufHolder retainedDuplicate() {
    return replace(content().retainedDuplicate());
  }

  @Override
  public boolean equals(Object other) {
    return this == other;
  }

  @Override
  public int hashCode() {
    return System.identityHashCode(this);
  }

  @Override
  public String toString() {
    return "Frame(" + (char) type + ", " + content().readableBytes() + " bytes)";
  }
}
