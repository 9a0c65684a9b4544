package org.persimmonwalk.peer.zone;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.persimmonwalk.engine.control.AnswerHost;
import org.persimmonwalk.engine.control.HostAsked;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.peer.generated.zone.ZoneRequestMessage;
import org.tinylog.Logger;

/** Takes the questions of the other hosts of the zone; runs on one event loop. */
public final class ZoneServer {
  /** Questions that wait for their answer; one per host and a few that were given up. */
  private static final int MAXIMUM_OPEN = 1024;

  private final EventLoopGroup group;
  private final Consumer<HostAsked> listener;
  private final Map<Long, Origin> open = new LinkedHashMap<>();
  private long nextExchange;

  private ZoneServer(EventLoopGroup group, Consumer<HostAsked> listener) {
    this.group = group;
    this.listener = listener;
  }

  /**
   * Starts to listen. A port that cannot be opened is logged; the host then never serves others.
   *
   * @param group a group with one thread; the caller closes it
   * @param listener takes the questions, on the thread of the group
   */
  public static ZoneServer start(
      EventLoopGroup group, SocketEndpoint endpoint, Consumer<HostAsked> listener) {
    ZoneServer server = new ZoneServer(group, listener);
    new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                ZoneFrames.addDecoder(channel.pipeline());
                channel.pipeline().addLast(server.new Inbound());
              }
            })
        .bind(endpoint.address(), endpoint.port())
        .addListener(
            (ChannelFuture future) -> {
              if (!future.isSuccess()) {
                Logger.error(future.cause(), "event=listen-failed endpoint={}", endpoint);
              }
            });
    return server;
  }

  /** Sends an answer; it is dropped if the connection of the question has ended. */
  public void answer(AnswerHost answer) {
    group
        .next()
        .execute(
            () -> {
              Origin origin = open.remove(answer.exchange());
              if (origin != null && origin.channel().isActive()) {
                ZoneFrames.write(
                    origin.channel(), ZoneCodec.encode(origin.exchange(), answer.reply()));
              }
            });
  }

  private void received(Channel channel, ZoneRequestMessage message) {
    if (open.size() >= MAXIMUM_OPEN) {
      open.remove(open.keySet().iterator().next());
    }
    nextExchange++;
    open.put(nextExchange, new Origin(channel, message.getExchange()));
    listener.accept(new HostAsked(nextExchange, ZoneCodec.decode(message)));
  }

  /** Where a question came from and how its sender names it. */
  private record Origin(Channel channel, long exchange) {}

  private final class Inbound extends SimpleChannelInboundHandler<ByteBuf> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws Exception {
      received(context.channel(), ZoneRequestMessage.parseFrom(frame.nioBuffer()));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Logger.info(
          "event=zone-question-unreadable from={} reason={}",
          context.channel().remoteAddress(),
          cause.toString());
      context.close();
    }
  }
}
