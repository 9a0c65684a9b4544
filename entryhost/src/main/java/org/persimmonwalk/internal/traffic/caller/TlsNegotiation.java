package org.persimmonwalk.internal.traffic.caller;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.ssl.SslHandler;
import java.util.Optional;
import org.persimmonwalk.wire.FrameDecoder;
import org.persimmonwalk.wire.ProtocolException;
import org.tinylog.Logger;

/** Answers the requests for encryption that may come before the start-up message. */
final class TlsNegotiation {
  private static final char ACCEPTED = 'S';
  private static final char REFUSED = 'N';

  private final CallerSecurity security;
  private final FrameDecoder decoder;

  private TlsNegotiation(CallerSecurity security, FrameDecoder decoder) {
    this.security = security;
    this.decoder = decoder;
  }

  static TlsNegotiation of(CallerSecurity security, FrameDecoder decoder) {
    return new TlsNegotiation(security, decoder);
  }

  /** Returns whether a caller may log in on the connection as it is now. */
  boolean allowsLogin(Channel channel) {
    return security.allowsPlainText() || isSecured(channel);
  }

  /** Refuses a request for encryption; the caller may continue without it. */
  void refuse(Channel channel) {
    answer(channel, REFUSED);
  }

  /**
   * Starts TLS if it is offered. The connection is closed if more bytes came with the request: they
   * were sent before the handshake, so an attacker on the network may have injected them.
   *
   * @throws ProtocolException if the connection uses TLS already
   */
  void startTls(Channel channel) {
    if (isSecured(channel)) {
      throw new ProtocolException("TLS was requested on a connection that already uses it");
    }
    Optional<SslHandler> handler = security.newHandler(channel.alloc());
    if (handler.isEmpty()) {
      refuse(channel);
    } else if (decoder.hasPartialMessage()) {
      Logger.warn(
          "closing the connection of caller {}: it sent bytes between the TLS request and the"
              + " handshake",
          channel.remoteAddress());
      channel.close();
    } else {
      // Written before the TLS handler is added, because the answer must not be encrypted.
      answer(channel, ACCEPTED);
      channel.pipeline().addFirst(handler.get());
    }
  }

  private static boolean isSecured(Channel channel) {
    ChannelPipeline pipeline = channel.pipeline();
    return pipeline.get(SslHandler.class) != null;
  }

  private static void answer(Channel channel, char answer) {
    ByteBuf buffer = channel.alloc().buffer(1).writeByte(answer);
    channel.writeAndFlush(buffer);
  }
}
