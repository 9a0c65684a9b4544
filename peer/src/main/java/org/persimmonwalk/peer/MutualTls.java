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
  private final Supplier<SslContext> serverContext;
  private final Supplier<SslContext> clientContext;

  private MutualTls(Supplier<SslContext> serverContext, Supplier<SslContext> clientContext) {
    this.serverContext = serverContext;
    this.clientContext = clientContext;
  }

  /**
   * Returns an instance that gets the current context for each new connection.
   *
   * @param serverContext supplies the context for a connection that a peer opened
   * @param clientContext supplies the context for a connection to a peer
   */
  public static MutualTls of(
      Supplier<SslContext> serverContext, Supplier<SslContext> clientContext) {
    return new MutualTls(serverContext, clientContext);
  }

  @Override
  public Optional<SslHandler> accepting(ByteBufAllocator allocator) {
    return Optional.of(serverContext.get().newHandler(allocator));
  }

  @Override
  public Optional<SslHandler> connecting(ByteBufAllocator allocator) {
    return Optional.of(clientContext.get().newHandler(allocator));
  }
}
