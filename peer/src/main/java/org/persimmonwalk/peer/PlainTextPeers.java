package org.persimmonwalk.peer;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.SslHandler;
import java.util.Optional;

/** Leaves connections in plain text. */
enum PlainTextPeers implements PeerSecurity {
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
