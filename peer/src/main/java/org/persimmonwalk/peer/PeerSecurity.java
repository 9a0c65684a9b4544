package org.persimmonwalk.peer;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.SslHandler;
import java.util.Optional;

/** Secures the connections between entry hosts. Its methods are called on event loops. */
public interface PeerSecurity {

  /** Returns a handler for a connection that a peer opened, or nothing for plain text. */
  Optional<SslHandler> accepting(ByteBufAllocator allocator);

  /** Returns a handler for a connection to a peer, or nothing for plain text. */
  Optional<SslHandler> connecting(ByteBufAllocator allocator);

  /** Returns a security that leaves connections in plain text. */
  static PeerSecurity plainText() {
    return PlainTextPeers.INSTANCE;
  }
}
