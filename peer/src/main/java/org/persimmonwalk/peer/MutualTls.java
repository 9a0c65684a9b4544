package org.persimmonwalk.peer;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslHandler;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Secures connections with mutual TLS. The given contexts must require and verify the certificate
 * of the peer.
 */
public final class MutualTls implements PeerSecurity {
  private final Supplier<SslContext> accepting;
  private final Supplier<SslContext> connecting;

  private MutualTls(Supplier<SslContext> accepting, Supplier<SslContext> connecting) {
    this.accepting = accepting;
    this.connecting = connecting;
  }

  /**
   * Returns an instance that gets the current context for each new connection.
   *
   * @param accepting supplies the context for a connection that a peer opened
   * @param connecting supplies the context for a connection to a peer
   */
  public static MutualTls of(Supplier<SslContext> accepting, Supplier<SslContext> connecting) {
    return new MutualTls(accepting, connecting);
  }

  @Override
  public Optional<SslHandler> accepting(ByteBufAllocator allocator) {
    return Optional.of(accepting.get().newHandler(allocator));
  }

  @Override
  public Optional<SslHandler> connecting(ByteBufAllocator allocator) {
    return Optional.of(connecting.get().newHandler(allocator));
  }
}
