package org.persimmonwalk.internal.admin;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.internal.settings.Settings;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.port.MonotonicClock;

/**
 * The HTTP server for operators. It runs on one thread of its own, so that it never delays traffic.
 *
 * <p>Example:
 *
 * <pre>{@code
 * AdminServer admin =
 *     AdminServer.start(settings, control::snapshot, registry, () -> control.post(stop));
 * }</pre>
 */
public final class AdminServer implements AutoCloseable {
  private static final int MAXIMUM_BODY_BYTES = 64 * 1024;
  private static final int MAXIMUM_CONNECTIONS = 64;
  private static final int READ_TIMEOUT_SECONDS = 10;

  /**
   * Bounds how long clients that send just often enough to avoid the read timeout can occupy all
   * connections.
   */
  private static final int CONNECTION_LIFETIME_SECONDS = 60;

  private final EventLoopGroup eventLoop =
      new MultiThreadIoEventLoopGroup(
          1, new DefaultThreadFactory("admin", true), NioIoHandler.newFactory());
  private final AtomicInteger connections = new AtomicInteger();
  private final AdminRouter router;
  private final Channel listener;

  private AdminServer(SocketEndpoint endpoint, AdminRouter router) {
    this.router = router;
    try {
      this.listener = listen(endpoint);
    } catch (RuntimeException failure) {
      eventLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
      throw failure;
    }
  }

  /**
   * Starts the server on the endpoint {@code admin.listen} of the settings.
   *
   * @param settings the settings of the entry host
   * @param snapshots returns the newest snapshot
   * @param registry the metrics of the entry host
   * @param drain starts draining the host; called on the thread of the server
   */
  public static AdminServer start(
      Settings settings, Supplier<Snapshot> snapshots, MetricRegistry registry, Runnable drain) {
    List<AdminResource> resources =
        List.of(
            StateResource.of(settings.host(), snapshots, MonotonicClock.system()),
            MetricsResource.of(registry),
            HealthResource.of(snapshots),
            DrainResource.of(drain));
    OperatorAccess access = OperatorAccess.of(settings.admin().token());
    return new AdminServer(settings.admin().listen(), AdminRouter.of(access, resources));
  }

  /** Returns the port on which the server listens. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  @Override
  public void close() {
    if (eventLoop.isShuttingDown()) {
      return;
    }
    listener.close().syncUninterruptibly();
    eventLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private Channel listen(SocketEndpoint endpoint) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(eventLoop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    accept(channel);
                  }
                });
    return bootstrap.bind(endpoint.address(), endpoint.port()).syncUninterruptibly().channel();
  }

  private void accept(SocketChannel channel) {
    channel.closeFuture().addListener(closed -> connections.decrementAndGet());
    if (connections.incrementAndGet() > MAXIMUM_CONNECTIONS) {
      channel.close();
      return;
    }
    channel
        .eventLoop()
        .schedule(() -> channel.close(), CONNECTION_LIFETIME_SECONDS, TimeUnit.SECONDS);
    channel
        .pipeline()
        .addLast(
            new ReadTimeoutHandler(READ_TIMEOUT_SECONDS),
            new HttpServerCodec(),
            AdminRequestAggregator.of(MAXIMUM_BODY_BYTES),
            AdminHandler.of(router));
  }
}
