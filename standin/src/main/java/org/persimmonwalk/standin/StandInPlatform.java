package org.persimmonwalk.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.internal.standin.platform.PlatformCounterRecorder;
import org.persimmonwalk.internal.standin.platform.PlatformFaults;
import org.persimmonwalk.internal.standin.platform.PlatformHandler;
import org.persimmonwalk.internal.standin.platform.PlatformRequest;
import org.persimmonwalk.internal.standin.platform.PlatformState;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.SocketEndpoint;

/**
 * The platform's table service, object store and host list over HTTP and JSON on loopback, for
 * tests and the demo. One thread reads and changes the state; one event loop serves all
 * connections. The methods may be called from any other thread.
 *
 * <p>Example:
 *
 * <pre>{@code
 * try (StandInPlatform platform = StandInPlatform.start(StandInPlatformSettings.create())) {
 *   platform.setOutage(PlatformOutage.REFUSED);
 * }
 * }</pre>
 */
public final class StandInPlatform implements AutoCloseable {
  private static final String LOOPBACK = "127.0.0.1";

  private final PlatformFaults faults = PlatformFaults.create();
  private final PlatformCounterRecorder counters = PlatformCounterRecorder.create();
  private final ScheduledExecutorService stateThread;
  private final EventLoopGroup loops;
  private final ChannelGroup channels;
  private final PlatformState state;
  private final Channel listener;

  private StandInPlatform(StandInPlatformSettings settings) {
    this.state = PlatformState.create(settings.clock());
    this.stateThread =
        Executors.newSingleThreadScheduledExecutor(
            action -> {
              Thread thread = new Thread(action, "standin-platform");
              thread.setDaemon(true);
              return thread;
            });
    this.loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    this.channels = new DefaultChannelGroup(loops.next(), true);
    try {
      this.listener = listen(settings);
    } catch (RuntimeException failure) {
      close();
      throw failure;
    }
  }

  /**
   * Starts a platform without rows, objects or hosts.
   *
   * @throws RuntimeException if the port is in use
   */
  public static StandInPlatform start(StandInPlatformSettings settings) {
    return new StandInPlatform(settings);
  }

  private Channel listen(StandInPlatformSettings settings) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channels.add(channel);
                    channel
                        .pipeline()
                        .addLast(
                            new HttpServerCodec(),
                            new HttpObjectAggregator(settings.maximumRequestBytes()),
                            PlatformHandler.of(state, faults, counters, stateThread));
                  }
                });
    Channel bound = bootstrap.bind(LOOPBACK, settings.port()).syncUninterruptibly().channel();
    channels.add(bound);
    return bound;
  }

  /** Returns the address at which the platform listens. */
  public SocketEndpoint endpoint() {
    return SocketEndpoint.of(LOOPBACK, ((InetSocketAddress) listener.localAddress()).getPort());
  }

  /** Returns the counters. */
  public PlatformCounters counters() {
    return PlatformCounters.of(counters.read());
  }

  /**
   * Waits until the given number of requests has arrived since the start. Faults that are set later
   * do not affect these requests.
   */
  public void awaitRequests(long count) throws InterruptedException {
    counters.awaitRequests(count);
  }

  /** Starts or ends an outage for all callers; it takes precedence over outages of single zones. */
  public void setOutage(PlatformOutage outage) {
    faults.setTreatment(treatment(outage));
  }

  /** Starts or ends an outage for the callers whose zone header names the given zone. */
  public void setOutage(AvailabilityZone zone, PlatformOutage outage) {
    faults.setTreatment(zone.value(), treatment(outage));
  }

  /** Sets the delay before each request is carried out. */
  public void setRequestDelay(Duration time) {
    faults.setRequestDelay(time);
  }

  /**
   * Makes the given number of next writes take effect but close the connection without an answer.
   */
  public void loseNextAnswers(int count) {
    faults.loseNextAnswers(count);
  }

  /** Sets by how much the host list that callers read lags behind the changes. */
  public void setHostListLag(Duration lag) {
    onStateThread(() -> state.setHostListLag(lag));
  }

  /** Adds a host to the list, or replaces the one with its id. */
  public void putHost(HostEntry host) {
    onStateThread(() -> state.apply(new PlatformRequest.PutHost(host)));
  }

  /** Removes a host from the list. */
  public void removeHost(EntryHostId host) {
    onStateThread(() -> state.apply(new PlatformRequest.RemoveHost(host)));
  }

  /**
   * Closes the listener and all connections. They are closed before the event loop ends: a loop
   * that is shut down without a quiet period may end without closing the channels registered with
   * it, which leaves callers waiting on open connections.
   */
  @Override
  public void close() {
    stateThread.shutdownNow();
    if (!loops.isShuttingDown()) {
      channels.close().awaitUninterruptibly();
    }
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private void onStateThread(Runnable action) {
    CompletableFuture.runAsync(action, stateThread).join();
  }

  private static PlatformFaults.Treatment treatment(PlatformOutage outage) {
    return switch (outage) {
      case NONE -> PlatformFaults.Treatment.SERVE;
      case REFUSED -> PlatformFaults.Treatment.REFUSE;
      case SILENT -> PlatformFaults.Treatment.IGNORE;
    };
  }
}
