package org.persimmonwalk.internal.traffic.caller;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.SslHandler;
import java.time.Duration;
import java.util.Optional;
import org.persimmonwalk.internal.tls.TlsContexts;

/** Offers TLS, and allows plain text only if it is not required. */
public final class TlsSecurity implements CallerSecurity {
  private final TlsContexts contexts;
  private final boolean required;
  private final Duration handshakeTimeout;

  private TlsSecurity(TlsContexts contexts, boolean required, Duration handshakeTimeout) {
    this.contexts = contexts;
    this.required = required;
    this.handshakeTimeout = handshakeTimeout;
  }

  /** Returns an implementation that uses the newest TLS context for each new connection. */
  public static TlsSecurity of(TlsContexts contexts, boolean required, Duration handshakeTimeout) {
    return new TlsSecurity(contexts, required, handshakeTimeout);
  }

  @Override
  public Optional<SslHandler> newHandler(ByteBufAllocator allocator) {
    SslHandler handler = contexts.serverContext().newHandler(allocator);
    handler.setHandshakeTimeoutMillis(handshakeTimeout.toMillis());
    return Optional.of(handler);
  }

  @Override
  public boolean allowsPlainText() {
    return !required;
  }
}
