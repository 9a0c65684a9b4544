package org.persimmonwalk.internal.traffic.caller;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.SslHandler;
import java.util.Optional;

/** Offers no TLS and accepts all callers in plain text. */
enum PlainTextSecurity implements CallerSecurity {
  /** The only value. */
  INSTANCE;

  @Override
  public Optional<SslHandler> newHandler(ByteBufAllocator allocator) {
    return Optional.empty();
  }

  @Override
  public boolean allowsPlainText() {
    return true;
  }
}
