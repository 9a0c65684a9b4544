package org.persimmonwalk.internal.standin.protocol;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.internal.standin.engine.GroupEngine;
import org.persimmonwalk.internal.standin.engine.Session;
import org.persimmonwalk.internal.standin.engine.Statement;
import org.persimmonwalk.internal.standin.engine.StatementQueue;
import org.persimmonwalk.internal.standin.engine.StatementTask;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.wire.FrameDecoder;
import org.persimmonwalk.wire.FrameEncoder;

/**
 * The network side of one stand-in server: its listening socket, its connections and the faults
 * injected into them. Connections are served on event loops and pass statements to the engine
 * thread; the public methods may be called from any other thread.
 */
public final class ServerFrontEnd {
  private static final String LOOPBACK = "127.0.0.1";
  private static final int MAXIMUM_FRAME_BYTES = 16 * 1024 * 1024;
  private static final int BACKLOG = 1024;

  private final BackendServerId id;
  private final GroupEngine engine;
  private final StatementQueue queue;
  private final ServerCounterRecorder counters;
  private final ScheduledExecutorService engineThread;
  private final int connectionLimit;
  private final Duration connectDelay;
  private final Set<BackendConnection> connections = ConcurrentHashMap.newKeySet();
  private final AtomicInteger nextProcessId = new AtomicInteger(1);
  private volatile Set<String> isolatedCallers = Set.of();
  private volatile boolean paused;
  private volatile boolean killed;
  private volatile Channel listener;
  private volatile int port;

  private ServerFrontEnd(
      BackendServerId id,
      GroupEngine engine,
      StatementQueue queue,
      ServerCounterRecorder counters,
      ScheduledExecutorService engineThread,
      int connectionLimit,
      Duration connectDelay) {
    this.id = id;
    this.engine = engine;
    this.queue = queue;
    this.counters = counters;
    this.engineThread = engineThread;
    this.connectionLimit = connectionLimit;
    this.connectDelay = connectDelay;
  }

  /** Returns a front end that does not listen yet. */
  public static ServerFrontEnd create(
      BackendServerId id,
      GroupEngine engine,
      StatementQueue queue,
      ServerCounterRecorder counters,
      ScheduledExecutorService engineThread,
      int connectionLimit,
      Duration connectDelay) {
    return new ServerFrontEnd(
        id, engine, queue, counters, engineThread, connectionLimit, connectDelay);
  }

  /** Listens on the port, or on a free one if the port is 0. */
  public void listen(EventLoopGroup loops, int wantedPort) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    accept(channel);
                  }
                });
    killed = false;
    listener = bootstrap.bind(LOOPBACK, wantedPort).syncUninterruptibly().channel();
    port = ((InetSocketAddress) listener.localAddress()).getPort();
  }

  private void accept(SocketChannel channel) {
    int secret = ThreadLocalRandom.current().nextInt();
    BackendConnection connection =
        BackendConnection.of(this, nextProcessId.getAndIncrement(), secret);
    channel
        .pipeline()
        .addLast(FrameDecoder.forServer(MAXIMUM_FRAME_BYTES), FrameEncoder.create(), connection);
    connections.add(connection);
    if (killed) {
      connection.closeAbruptly();
    }
  }

  /** Returns the address at which the server listens, or listened last. */
  public SocketEndpoint endpoint() {
    return SocketEndpoint.of(LOOPBACK, port);
  }

  /** Returns the recorder of what callers send to this server. */
  public ServerCounterRecorder counters() {
    return counters;
  }

  /** Returns the server's statement queue, which may only be used on the engine thread. */
  public StatementQueue queue() {
    return queue;
  }

  /** Sends nothing from now on, so that no answer leaves a server that is about to be killed. */
  public void stopSending() {
    killed = true;
  }

  /** Stops listening and closes all connections without an error message. */
  public void kill() {
    stopSending();
    listener.close().syncUninterruptibly();
    connections.forEach(BackendConnection::closeAbruptly);
  }

  /**
   * Closes all connections with the error of an administrator's command (57P01); new ones may open.
   */
  public void terminateConnections() {
    connections.forEach(BackendConnection::terminate);
  }

  /** Stops accepting connections and handling messages, or resumes both. */
  public void setPaused(boolean pause) {
    paused = pause;
    listener.config().setAutoRead(!pause);
    connections.forEach(BackendConnection::onFaultsChanged);
  }

  /** Handles and sends no messages of callers whose user or application name is in the set. */
  public void isolateCallers(Set<String> names) {
    isolatedCallers = Set.copyOf(names);
    connections.forEach(BackendConnection::onFaultsChanged);
  }

  /**
   * Returns whether a connection must neither handle nor send messages now.
   *
   * @param parameters the connection's start-up parameters, or null if it has not sent them yet
   */
  boolean isStalled(Map<String, String> parameters) {
    if (paused || killed) {
      return true;
    }
    if (parameters == null) {
      return false;
    }
    Set<String> isolated = isolatedCallers;
    return isolated.contains(parameters.getOrDefault("user", ""))
        || isolated.contains(parameters.getOrDefault("application_name", ""));
  }

  boolean tryCountConnection() {
    return counters.tryCountConnection(connectionLimit);
  }

  void connectionClosed(BackendConnection connection, boolean countedAsOpen) {
    connections.remove(connection);
    if (countedAsOpen) {
      counters.recordClosedConnection();
    }
  }

  Session open(Map<String, String> parameters) {
    return engine.open(id, parameters);
  }

  GroupEngine engine() {
    return engine;
  }

  void afterConnectDelay(Runnable action) {
    try {
      engineThread.schedule(action, connectDelay.toNanos(), TimeUnit.NANOSECONDS);
    } catch (RejectedExecutionException closed) {
      kill();
    }
  }

  void onEngineThread(Runnable action) {
    if (!engineThread.isShutdown()) {
      engineThread.execute(action);
    }
  }

  void submit(StatementTask task, String user) {
    counters.recordStatement(user);
    queue.submit(task);
    if (task.statement() instanceof Statement.Call) {
      Set<Session> terminated = Set.copyOf(engine.terminated(id));
      connections.stream()
          .filter(connection -> terminated.contains(connection.session()))
          .forEach(BackendConnection::terminate);
    }
  }

  void cancel(int processId, int secret) {
    connections.stream()
        .filter(connection -> connection.hasCancelKey(processId, secret))
        .filter(connection -> connection.session() != null)
        .forEach(connection -> onEngineThread(() -> queue.cancel(connection.session())));
  }
}
