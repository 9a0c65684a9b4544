package org.persimmonwalk.peer.zone;

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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.persimmonwalk.engine.control.SendZoneRequest;
import org.persimmonwalk.engine.control.ZoneReply;
import org.persimmonwalk.engine.control.ZoneRequestEnded;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.peer.generated.zone.ZoneReplyMessage;
import org.persimmonwalk.port.MonotonicClock;
import org.tinylog.Logger;

/**
 * Sends requests to the relay of the zone over one connection. Any thread may call {@link #send};
 * the rest, including the listener, runs on one event loop.
 */
public final class ZoneClient {
  /**
   * Limits the time for connecting and for a reply, which takes about 2 ms within a zone. A single
   * slower reply costs one call to the store; a longer timeout would let verifications and tokens
   * expire.
   */
  private static final Duration TIMEOUT = Duration.ofMillis(200);

  private final EventLoopGroup group;
  private final MonotonicClock clock;
  private final Consumer<ZoneRequestEnded> listener;
  private final Map<Long, Pending> pending = new HashMap<>();
  private Optional<SocketEndpoint> connectedTo = Optional.empty();
  private Channel channel;
  private long lastExchangeId;

  private ZoneClient(
      EventLoopGroup group, MonotonicClock clock, Consumer<ZoneRequestEnded> listener) {
    this.group = group;
    this.clock = clock;
    this.listener = listener;
  }

  /**
   * Returns a client without a connection.
   *
   * @param group a group with one thread; the caller closes it
   * @param listener called once for each request, when its reply arrives or it fails
   */
  public static ZoneClient create(
      EventLoopGroup group, MonotonicClock clock, Consumer<ZoneRequestEnded> listener) {
    return new ZoneClient(group, clock, listener);
  }

  /** Sends a request, over a new connection if there is none to that relay. */
  public void send(SendZoneRequest command) {
    group.next().execute(() -> startRequest(command));
  }

  private void startRequest(SendZoneRequest command) {
    long exchangeId = ++lastExchangeId;
    Future<?> timer =
        group.next().schedule(() -> timeOut(exchangeId), TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    pending.put(exchangeId, new Pending(command, clock.now(), timer));
    SocketEndpoint endpoint = command.relay().endpoint();
    boolean connectedToRelay =
        channel != null && channel.isActive() && connectedTo.filter(endpoint::equals).isPresent();
    if (connectedToRelay) {
      ZoneFrames.write(channel, ZoneCodec.encode(exchangeId, command.request()));
    } else {
      connect(endpoint, exchangeId);
    }
  }

  private void connect(SocketEndpoint endpoint, long exchangeId) {
    disconnect();
    connectedTo = Optional.of(endpoint);
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) TIMEOUT.toMillis())
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel created) {
                ZoneFrames.addDecoder(created.pipeline());
                created.pipeline().addLast(new ReplyHandler());
              }
            })
        .connect(endpoint.address(), endpoint.port())
        .addListener((ChannelFuture future) -> connected(future, exchangeId));
  }

  private void connected(ChannelFuture future, long exchangeId) {
    Pending waiting = pending.get(exchangeId);
    if (!future.isSuccess()) {
      complete(exchangeId, Optional.empty());
    } else if (waiting == null) {
      future.channel().close();
    } else {
      channel = future.channel();
      ZoneFrames.write(channel, ZoneCodec.encode(exchangeId, waiting.command().request()));
    }
  }

  /**
   * Fails a request and closes the connection, because a broken connection may stay open without a
   * reset.
   */
  private void timeOut(long exchangeId) {
    if (pending.containsKey(exchangeId)) {
      disconnect();
      complete(exchangeId, Optional.empty());
    }
  }

  private void disconnect() {
    if (channel != null) {
      channel.close();
      channel = null;
    }
    connectedTo = Optional.empty();
  }

  private void complete(long exchangeId, Optional<ZoneReply> reply) {
    Pending completed = pending.remove(exchangeId);
    if (completed != null) {
      completed.timer().cancel(false);
      listener.accept(
          new ZoneRequestEnded(completed.command(), reply, completed.sentAt(), clock.now()));
    }
  }

  private record Pending(SendZoneRequest command, MonotonicTime sentAt, Future<?> timer) {}

  private final class ReplyHandler extends SimpleChannelInboundHandler<ByteBuf> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws Exception {
      ZoneReplyMessage message = ZoneReplyMessage.parseFrom(frame.nioBuffer());
      complete(message.getExchange(), Optional.of(ZoneCodec.decode(message)));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (context.channel() == channel) {
        channel = null;
        List.copyOf(pending.keySet()).forEach(exchangeId -> complete(exchangeId, Optional.empty()));
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
