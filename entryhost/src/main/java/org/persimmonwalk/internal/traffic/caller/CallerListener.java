package org.persimmonwalk.internal.traffic.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import org.persimmonwalk.wire.FrameDecoder;
import org.persimmonwalk.wire.FrameEncoder;

/** The listening socket for callers; sets up the pipeline of each accepted connection. */
public final class CallerListener {
  private final Channel channel;

  private CallerListener(Channel channel) {
    this.channel = channel;
  }

  /** Listens on the address and port of the settings; port 0 selects a free port. */
  public static CallerListener open(
      EventLoopGroup eventLoops,
      TrafficContext context,
      CallerRegistry registry,
      CallerSecurity security) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer(context, registry, security));
    var listen = context.settings().listen();
    return new CallerListener(
        bootstrap.bind(listen.address(), listen.port()).syncUninterruptibly().channel());
  }

  private static ChannelInitializer<Channel> initializer(
      TrafficContext context, CallerRegistry registry, CallerSecurity security) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        FrameDecoder decoder = FrameDecoder.forServer(context.settings().maximumMessageBytes());
        channel
            .pipeline()
            .addLast(decoder)
            .addLast(FrameEncoder.create())
            .addLast(CallerHandler.of(context, registry, decoder, security));
      }
    };
  }

  /** Returns the port that callers connect to. */
  public int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  /** Stops listening; open connections are not closed. */
  public void close() {
    channel.close().syncUninterruptibly();
  }
}
