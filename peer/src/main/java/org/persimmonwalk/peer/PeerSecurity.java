package org.persimmonwalk.peer;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.SslHandler;
import java.util.Optional;

/**
 * Supplies the TLS handlers of the connections between entry hosts. Its methods are called on event
 * loops.
 */
public interface PeerSecurity {

  /** Returns the TLS handler for a connection that a peer opened, empty for plain text. */
  Optional<SslHandler> accepting(ByteBufAllocator allocator);

  /** Returns the TLS handler for a connection to a peer, empty for plain text. */
  Optional<SslHandler> connecting(ByteBufAllocator allocator);

  /** Returns an instance that uses plain text. */
  static PeerSecurity plainText() {
    return PlainTextSecurity.INSTANCE;
  }
}
