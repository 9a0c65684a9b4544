package org.persimmonwalk.internal.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;

/**
 * Handles the events of a connection that this host opened. Messages are only sent on it, so
 * received data is an error that closes it.
 */
final class OutboundHandler extends ChannelInboundHandlerAdapter {
  private final Runnable onWritable;
  private final FaultReporter reporter;
  private boolean closing;

  private OutboundHandler(Runnable onWritable, FaultReporter reporter) {
    this.onWritable = onWritable;
    this.reporter = reporter;
  }

  /** Returns a handler that runs the action when the connection becomes writable again. */
  static OutboundHandler of(Runnable onWritable, FaultReporter reporter) {
    return new OutboundHandler(onWritable, reporter);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ReferenceCountUtil.release(message);
    if (!closing) {
      closing = true;
      reporter.report(
          context.channel().remoteAddress(), "the peer sent data on a one-way connection");
      context.close();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (context.channel().isWritable()) {
      onWritable.run();
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
