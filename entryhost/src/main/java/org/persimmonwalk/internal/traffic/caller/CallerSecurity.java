package org.persimmonwalk.internal.traffic.caller;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.SslHandler;
import java.util.Optional;

/** Decides whether callers use TLS or plain text. */
public interface CallerSecurity {

  /** Returns a handler that secures one connection, if TLS is offered. */
  Optional<SslHandler> newHandler(ByteBufAllocator allocator);

  /** Returns whether a caller may log in without TLS. */
  boolean allowsPlainText();

  /** Returns an implementation that offers no TLS. */
  static CallerSecurity plainText() {
    return PlainTextSecurity.INSTANCE;
  }
}
