package org.persimmonwalk.internal.traffic.backend;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.internal.settings.Settings;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.wire.FrameDecoder;
import org.persimmonwalk.wire.FrameEncoder;
import org.persimmonwalk.wire.Messages;

/** Opens connections to backend servers and sends them cancel requests. */
public final class BackendConnector {
  private static final int MAXIMUM_FRAME_BYTES = 1 << 30;

  private final EventLoopGroup eventLoops;
  private final Settings.Backend settings;

  private BackendConnector(EventLoopGroup eventLoops, Settings.Backend settings) {
    this.eventLoops = eventLoops;
    this.settings = settings;
  }

  /** Returns a connector that uses the given event loops and the host's own account. */
  public static BackendConnector of(EventLoopGroup eventLoops, Settings.Backend settings) {
    return new BackendConnector(eventLoops, settings);
  }

  /**
   * Opens a connection and logs in.
   *
   * @return the connection, or a failure with {@code NO_CONNECTION}
   */
  CompletionStage<BackendConnection> connect(
      DatabaseGroupId group, BackendServer server, BackendConnection.CloseListener listener) {
    CompletableFuture<BackendKey> login = new CompletableFuture<>();
    login.orTimeout(settings.connectTimeout().toMillis(), TimeUnit.MILLISECONDS);
    BackendLogin handler =
        BackendLogin.of(settings.user(), settings.password(), group.value(), login);
    var future = bootstrap(handler).connect(server.endpoint().address(), server.endpoint().port());
    Channel channel = future.channel();
    future.addListener(
        done -> {
          if (!done.isSuccess()) {
            login.completeExceptionally(done.cause());
          }
        });
    return login
        .whenComplete((key, failure) -> closeOnFailure(channel, failure))
        .thenApply(
            key -> {
              BackendConnection connection = BackendConnection.of(server, key, listener);
              channel.pipeline().replace(handler, "connection", connection);
              return connection;
            });
  }

  /** Asks the backend server to cancel the statement that runs on a connection. */
  public void cancel(BackendConnection connection) {
    BackendServer server = connection.server();
    bootstrap(new NoInput())
        .connect(server.endpoint().address(), server.endpoint().port())
        .addListener(
            (ChannelFuture done) -> {
              if (done.isSuccess()) {
                Messages messages = Messages.of(done.channel().alloc());
                BackendKey key = connection.key();
                done.channel()
                    .writeAndFlush(messages.cancel(key.processId(), key.secret()))
                    .addListener(ChannelFutureListener.CLOSE);
              }
            });
  }

  private static void closeOnFailure(Channel channel, Throwable failure) {
    if (failure != null) {
      channel.close();
    }
  }

  private Bootstrap bootstrap(ChannelHandler handler) {
    return new Bootstrap()
        .group(eventLoops)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) settings.connectTimeout().toMillis())
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(FrameDecoder.forClient(MAXIMUM_FRAME_BYTES))
                    .addLast(FrameEncoder.create())
                    .addLast(handler);
              }
            });
  }

  /** Ignores input on a connection that only sends. */
  private static final class NoInput extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ReferenceCountUtil.release(message);
    }
  }
}
