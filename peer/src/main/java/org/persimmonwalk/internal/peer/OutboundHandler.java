package org.persimmonwalk.internal.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;

/**
 * Watches a connection that this host opened. Messages go one way only, so bytes that come back
 * close it.
 */
final class OutboundHandler extends ChannelInboundHandlerAdapter {
  private final Runnable writable;
  private final FaultReporter reporter;
  private boolean closing;

  private OutboundHandler(Runnable writable, FaultReporter reporter) {
    this.writable = writable;
    this.reporter = reporter;
  }

  /** Returns a handler that runs the action when the connection takes more bytes. */
  static OutboundHandler of(Runnable writable, FaultReporter reporter) {
    return new OutboundHandler(writable, reporter);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ReferenceCountUtil.release(message);
    if (!closing) {
      closing = true;
      reporter.report(context.channel().remoteAddress(), "it answers on a one-way connection");
      context.close();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (context.channel().isWritable()) {
      writable.run();
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
    HandshakeFaults.describe(failure)
        .filter(reason -> !closing)
        .ifPresent(reason -> reporter.report(context.channel().remoteAddress(), reason));
    closing = true;
    context.close();
  }
}
