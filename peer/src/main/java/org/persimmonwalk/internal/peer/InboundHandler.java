package org.persimmonwalk.internal.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.IdleStateEvent;
import java.io.IOException;
import java.util.Optional;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.peer.PeerCodec;
import org.persimmonwalk.peer.PeerEnvelope;
import org.persimmonwalk.peer.PeerMessageListener;
import org.persimmonwalk.peer.PeerSettings;
import org.persimmonwalk.result.PersimmonwalkException;
import org.tinylog.Logger;

/**
 * Decodes the messages on one connection that a peer opened and passes those addressed to this host
 * to the listener. Invalid data and a change of the sender close the connection.
 */
public final class InboundHandler extends SimpleChannelInboundHandler<ByteBuf> {
  private final EntryHostId self;
  private final PeerMessageListener listener;
  private final FaultReporter reporter;
  private Optional<EntryHostId> peer = Optional.empty();
  private boolean closing;

  private InboundHandler(EntryHostId self, PeerMessageListener listener, FaultReporter reporter) {
    this.self = self;
    this.listener = listener;
    this.reporter = reporter;
  }

  /** Returns the handler of a new connection. */
  public static InboundHandler of(
      EntryHostId self, PeerMessageListener listener, FaultReporter reporter) {
    return new InboundHandler(self, listener, reporter);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
    if (closing) {
      return;
    }
    PeerEnvelope envelope = PeerCodec.decode(frame.nioBuffer());
    EntryHostId known = peer.orElse(envelope.from());
    if (!known.equals(envelope.from())) {
      close(context, "the sender changed from " + known + " to " + envelope.from());
      return;
    }
    peer = Optional.of(known);
    if (envelope.to().equals(self)) {
      listener.received(envelope.from(), envelope.message());
    } else {
      Logger.debug("Ignoring a message from {} to {}; this host is {}", known, envelope.to(), self);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof IdleStateEvent) {
      context.close();
    } else {
      context.fireUserEventTriggered(event);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
    Optional<String> handshakeFault = HandshakeFaults.describe(failure);
    Throwable cause = failure.getCause() instanceof PersimmonwalkException known ? known : failure;
    if (handshakeFault.isPresent()) {
      close(context, handshakeFault.get());
    } else if (cause instanceof IOException) {
      context.close();
    } else if (cause instanceof TooLongFrameException) {
      close(
          context, "a message is larger than the limit of " + PeerSettings.FRAME_LIMIT + " bytes");
    } else {
      close(context, String.valueOf(cause.getMessage()));
    }
  }

  private void close(ChannelHandlerContext context, String reason) {
    if (!closing) {
      closing = true;
      reporter.report(context.channel().remoteAddress(), reason);
      context.close();
    }
  }
}
