package org.persimmonwalk.peer;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.SslHandler;
import java.util.Optional;

/** Uses no TLS: peers exchange messages in plain text. */
enum PlainTextSecurity implements PeerSecurity {
  /** The only value. */
  INSTANCE;

  @Override
  public Optional<SslHandler> accepting(ByteBufAllocator allocator) {
    return Optional.empty();
  }

  @Override
  public Optional<SslHandler> connecting(ByteBufAllocator allocator) {
    return Optional.empty();
  }
}
