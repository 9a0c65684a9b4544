package org.persimmonwalk.peer;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslHandler;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Secures connections with TLS in both directions. The contexts must verify the certificate of the
 * other side.
 */
public final class MutualTls implements PeerSecurity {
  private final Supplier<SslContext> accepting;
  private final Supplier<SslContext> connecting;

  private MutualTls(Supplier<SslContext> accepting, Supplier<SslContext> connecting) {
    this.accepting = accepting;
    this.connecting = connecting;
  }

  /**
   * Returns a security that asks for the context of each new connection.
   *
   * @param accepting gives the context of a connection that a peer opened
   * @param connecting gives the context of a connection to a peer
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
