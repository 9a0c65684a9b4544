package org.persimmonwalk.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import java.util.List;
import org.junit.jupiter.api.Test;

class HeapBuffersTest {

  /** Guards against buffers of connections that take memory beyond the limit of the heap. */
  @Test
  void shouldAllocateTheBuffersOfConnectionsOnTheHeap() {
    List<ByteBuf> buffers =
        List.of(
            HeapBuffers.ALLOCATOR.buffer(16),
            HeapBuffers.ALLOCATOR.ioBuffer(),
            HeapBuffers.ALLOCATOR.ioBuffer(16),
            HeapBuffers.ALLOCATOR.ioBuffer(16, 32));

    assertThat(buffers).allMatch(ByteBuf::hasArray).noneMatch(ByteBuf::isDirect);
  }
}
