package org.persimmonwalk.peer.zone;

import com.google.protobuf.MessageLite;
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
import java.util.function.Function;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.engine.control.SendTokenReply;
import org.persimmonwalk.engine.control.SendZoneReply;
import org.persimmonwalk.engine.control.ZoneRequestReceived;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.peer.generated.zone.ZoneRequestMessage;
import org.tinylog.Logger;

/**
 * Receives the requests of other hosts and sends the replies. Any thread may call {@link #reply};
 * the rest, including the listener, runs on one event loop.
 */
public final class ZoneServer {
  /**
   * Requests that may wait for a reply: one per host and a few whose sender stopped waiting. Above
   * this number the oldest is dropped.
   */
  private static final int MAXIMUM_UNANSWERED = 1024;

  private final EventLoopGroup group;
  private final Consumer<Observation> listener;
  private final Map<Long, Origin> unanswered = new LinkedHashMap<>();
  private final CompressedConfiguration compressedConfiguration = new CompressedConfiguration();
  private long lastExchangeId;

  private ZoneServer(EventLoopGroup group, Consumer<Observation> listener) {
    this.group = group;
    this.listener = listener;
  }

  /**
   * Starts to listen. If the port cannot be opened, that is logged and the host receives no
   * requests.
   *
   * @param group a group with one thread; the caller closes it
   * @param listener receives the requests, on the thread of the group
   * @param admission limits the connections
   */
  public static ZoneServer start(
      EventLoopGroup group,
      SocketEndpoint endpoint,
      Consumer<Observation> listener,
      ZoneAdmission admission) {
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
                ZoneFrames.addDecoder(channel.pipeline(), admission.add(channel));
                channel.pipeline().addLast(server.new RequestHandler());
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

  /** Sends a reply; it is dropped if the connection of the request is closed. */
  public void reply(SendZoneReply command) {
    reply(
        command.exchangeId(),
        origin ->
            origin.readsCompressed()
                ? ZoneCodec.encode(
                    origin.exchangeId(), command.reply(), compressedConfiguration::compress)
                : ZoneCodec.encode(origin.exchangeId(), command.reply()));
  }

  /** Sends the reply to token requests; dropped if the connection of the request is closed. */
  public void reply(SendTokenReply command) {
    reply(command.exchangeId(), origin -> ZoneCodec.encode(origin.exchangeId(), command.reply()));
  }

  private void reply(long exchangeId, Function<Origin, MessageLite> reply) {
    group
        .next()
        .execute(
            () -> {
              Origin origin = unanswered.remove(exchangeId);
              if (origin != null && origin.channel().isActive()) {
                ZoneFrames.write(origin.channel(), reply.apply(origin));
              }
            });
  }

  private void received(Channel channel, ZoneRequestMessage message) {
    long exchangeId = ++lastExchangeId;
    Observation request =
        message.getTokensOnly()
            ? ZoneCodec.decodeTokens(exchangeId, message)
            : new ZoneRequestReceived(exchangeId, ZoneCodec.decode(message));
    if (unanswered.size() >= MAXIMUM_UNANSWERED) {
      unanswered.remove(unanswered.keySet().iterator().next());
    }
    unanswered.put(
        exchangeId, new Origin(channel, message.getExchange(), message.getReadsCompressed()));
    listener.accept(request);
  }

  /**
   * Where a request came from.
   *
   * @param exchangeId the number that its sender gave it
   * @param readsCompressed whether the sender can read a compressed configuration
   */
  private record Origin(Channel channel, long exchangeId, boolean readsCompressed) {}

  private final class RequestHandler extends SimpleChannelInboundHandler<ByteBuf> {

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
