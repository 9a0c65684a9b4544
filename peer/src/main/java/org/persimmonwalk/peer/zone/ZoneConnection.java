package org.persimmonwalk.peer.zone;

import com.google.protobuf.MessageLite;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.peer.generated.zone.ZoneReplyMessage;
import org.tinylog.Logger;

/**
 * The connection to one relay, opened when a request is sent. Used on the thread of its event loop
 * only.
 */
final class ZoneConnection {
  private final EventLoopGroup group;
  private final SocketEndpoint endpoint;
  private final Duration timeout;
  private final Map<Long, Pending> pending = new HashMap<>();
  private final List<MessageLite> unsent = new ArrayList<>();
  private Channel channel;
  private long attempt;
  private boolean connecting;
  private long repliesReceived;

  ZoneConnection(EventLoopGroup group, SocketEndpoint endpoint, Duration timeout) {
    this.group = group;
    this.endpoint = endpoint;
    this.timeout = timeout;
  }

  /**
   * Sends a request.
   *
   * @param onEnd called once, with the reply, or without one when the request failed or timed out
   */
  void send(long exchangeId, MessageLite request, Consumer<Optional<ZoneReplyMessage>> onEnd) {
    Future<?> timer =
        group.next().schedule(() -> timeOut(exchangeId), timeout.toMillis(), TimeUnit.MILLISECONDS);
    pending.put(exchangeId, new Pending(onEnd, timer, repliesReceived));
    if (channel != null && channel.isActive()) {
      ZoneFrames.write(channel, request);
      return;
    }
    unsent.add(request);
    if (!connecting) {
      connect();
    }
  }

  private void connect() {
    connecting = true;
    long thisAttempt = ++attempt;
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel created) {
                ZoneFrames.addDecoder(created.pipeline());
                created.pipeline().addLast(new ReplyHandler());
              }
            })
        .connect(endpoint.address(), endpoint.port())
        .addListener((ChannelFuture future) -> connected(future, thisAttempt));
  }

  private void connected(ChannelFuture future, long ofAttempt) {
    if (ofAttempt != attempt) {
      future.channel().close();
      return;
    }
    connecting = false;
    if (!future.isSuccess()) {
      failAll();
      return;
    }
    channel = future.channel();
    unsent.forEach(request -> ZoneFrames.write(channel, request));
    unsent.clear();
  }

  /**
   * Fails a request. Closes the connection if nothing has arrived over it since the request was
   * sent, because a broken connection may stay open without a reset. The other requests keep their
   * own time limits.
   */
  private void timeOut(long exchangeId) {
    Pending late = pending.get(exchangeId);
    if (late != null) {
      if (late.repliesBefore() == repliesReceived) {
        close();
      }
      complete(exchangeId, Optional.empty());
    }
  }

  /** Closes the connection; requests without a reply fail when their time is over. */
  void close() {
    attempt++;
    connecting = false;
    unsent.clear();
    if (channel != null) {
      Channel closing = channel;
      channel = null;
      closing.close();
    }
  }

  private void failAll() {
    unsent.clear();
    List.copyOf(pending.keySet()).forEach(exchangeId -> complete(exchangeId, Optional.empty()));
  }

  private void complete(long exchangeId, Optional<ZoneReplyMessage> reply) {
    Pending completed = pending.remove(exchangeId);
    if (completed != null) {
      completed.timer().cancel(false);
      completed.onEnd().accept(reply);
    }
  }

  /**
   * A request without a reply.
   *
   * @param repliesBefore how many replies had arrived when it was sent
   */
  private record Pending(
      Consumer<Optional<ZoneReplyMessage>> onEnd, Future<?> timer, long repliesBefore) {}

  private final class ReplyHandler extends SimpleChannelInboundHandler<ByteBuf> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws Exception {
      ZoneReplyMessage message = ZoneReplyMessage.parseFrom(frame.nioBuffer());
      repliesReceived++;
      complete(message.getExchange(), Optional.of(message));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (context.channel() == channel) {
        channel = null;
        failAll();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Logger.info(
          "event=zone-answer-unreadable from={} reason={}",
          context.channel().remoteAddress(),
          cause.toString());
      context.close();
    }
  }
}
