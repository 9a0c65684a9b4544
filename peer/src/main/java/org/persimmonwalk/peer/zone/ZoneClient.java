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
import org.persimmonwalk.engine.control.AskRelay;
import org.persimmonwalk.engine.control.RelayAnswered;
import org.persimmonwalk.engine.control.ZoneReply;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.peer.generated.zone.ZoneReplyMessage;
import org.persimmonwalk.port.MonotonicClock;
import org.tinylog.Logger;

/** Sends questions to the relay of the zone over one connection; runs on one event loop. */
public final class ZoneClient {
  /**
   * An answer takes about 2 ms in a zone. A relay that is slower than this for once costs one call
   * of the store; a longer wait would let verifications and tokens lapse.
   */
  private static final Duration TIMEOUT = Duration.ofMillis(200);

  private final EventLoopGroup group;
  private final MonotonicClock clock;
  private final Consumer<RelayAnswered> listener;
  private final Map<Long, Pending> pending = new HashMap<>();
  private Optional<SocketEndpoint> connectedTo = Optional.empty();
  private Channel channel;
  private long nextExchange;

  private ZoneClient(EventLoopGroup group, MonotonicClock clock, Consumer<RelayAnswered> listener) {
    this.group = group;
    this.clock = clock;
    this.listener = listener;
  }

  /**
   * Returns a client without a connection.
   *
   * @param group a group with one thread; the caller closes it
   * @param listener is told the end of each question once
   */
  public static ZoneClient create(
      EventLoopGroup group, MonotonicClock clock, Consumer<RelayAnswered> listener) {
    return new ZoneClient(group, clock, listener);
  }

  /** Sends a question. */
  public void ask(AskRelay question) {
    group.next().execute(() -> start(question));
  }

  private void start(AskRelay question) {
    long exchange = ++nextExchange;
    Future<?> timer =
        group.next().schedule(() -> giveUp(exchange), TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    pending.put(exchange, new Pending(question, clock.now(), timer));
    SocketEndpoint endpoint = question.relay().endpoint();
    boolean usable =
        channel != null && channel.isActive() && connectedTo.filter(endpoint::equals).isPresent();
    if (usable) {
      ZoneFrames.write(channel, ZoneCodec.encode(exchange, question.request()));
    } else {
      connect(endpoint, exchange);
    }
  }

  private void connect(SocketEndpoint endpoint, long exchange) {
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
                created.pipeline().addLast(new Inbound());
              }
            })
        .connect(endpoint.address(), endpoint.port())
        .addListener((ChannelFuture future) -> connected(future, exchange));
  }

  private void connected(ChannelFuture future, long exchange) {
    Pending waiting = pending.get(exchange);
    if (!future.isSuccess()) {
      end(exchange, Optional.empty());
    } else if (waiting == null) {
      future.channel().close();
    } else {
      channel = future.channel();
      ZoneFrames.write(channel, ZoneCodec.encode(exchange, waiting.question().request()));
    }
  }

  /** A connection may go silent for good without a reset, so a lost answer ends it. */
  private void giveUp(long exchange) {
    if (pending.containsKey(exchange)) {
      disconnect();
      end(exchange, Optional.empty());
    }
  }

  private void disconnect() {
    if (channel != null) {
      channel.close();
      channel = null;
    }
    connectedTo = Optional.empty();
  }

  private void end(long exchange, Optional<ZoneReply> reply) {
    Pending ended = pending.remove(exchange);
    if (ended != null) {
      ended.timer().cancel(false);
      listener.accept(new RelayAnswered(ended.question(), reply, ended.askedAt(), clock.now()));
    }
  }

  private record Pending(AskRelay question, MonotonicTime askedAt, Future<?> timer) {}

  private final class Inbound extends SimpleChannelInboundHandler<ByteBuf> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws Exception {
      ZoneReplyMessage message = ZoneReplyMessage.parseFrom(frame.nioBuffer());
      end(message.getExchange(), Optional.of(ZoneCodec.decode(message)));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (context.channel() == channel) {
        channel = null;
        List.copyOf(pending.keySet()).forEach(exchange -> end(exchange, Optional.empty()));
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
