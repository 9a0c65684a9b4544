package org.persimmonwalk.peer;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;

/**
 * Allocates the buffers of connections on the heap. Netty reads into direct memory by default,
 * which it allocates, clears and frees for each read, outside the limit of the heap. The Java
 * runtime copies heap buffers through one direct buffer of the thread instead.
 */
public final class HeapBuffers extends AbstractByteBufAllocator {
  /** The allocator for the connections of a host. */
  public static final ByteBufAllocator ALLOCATOR = new HeapBuffers();

  private HeapBuffers() {
    super(false);
  }

  @Override
  protected ByteBuf newHeapBuffer(int initialCapacity, int maxCapacity) {
    return new UnpooledHeapByteBuf(this, initialCapacity, maxCapacity);
  }

  @Override
  protected ByteBuf newDirectBuffer(int initialCapacity, int maxCapacity) {
    return UnpooledByteBufAllocator.DEFAULT.directBuffer(initialCapacity, maxCapacity);
  }

  @Override
  public boolean isDirectBufferPooled() {
    return false;
  }

  @Override
  public ByteBuf ioBuffer() {
    return heapBuffer();
  }

  @Override
  public ByteBuf ioBuffer(int initialCapacity) {
    return heapBuffer(initialCapacity);
  }

  @Override
  public ByteBuf ioBuffer(int initialCapacity, int maxCapacity) {
    return heapBuffer(initialCapacity, maxCapacity);
  }
}
