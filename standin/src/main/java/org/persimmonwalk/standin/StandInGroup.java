package org.persimmonwalk.standin;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.internal.standin.engine.GroupEngine;
import org.persimmonwalk.internal.standin.engine.StatementQueue;
import org.persimmonwalk.internal.standin.engine.Timers;
import org.persimmonwalk.internal.standin.protocol.ServerCounterRecorder;
import org.persimmonwalk.internal.standin.protocol.ServerFrontEnd;
import org.persimmonwalk.model.SocketEndpoint;

/**
 * A replicated database group of in-process servers that speak the PostgreSQL v3 protocol on
 * loopback. One thread runs the engine; two event loops serve all connections. Each switch has
 * taken effect when its method returns.
 *
 * <p>Example:
 *
 * <pre>{@code
 * try (StandInGroup group = StandInGroup.start(StandInGroupSettings.of("a", "b", "c"))) {
 *   SocketEndpoint primary = group.endpoint(BackendServerId.of("a"));
 * }
 * }</pre>
 */
public final class StandInGroup implements AutoCloseable {
  private static final int EVENT_LOOPS = 2;

  private final StandInGroupSettings settings;
  private final ScheduledExecutorService engineThread;
  private final EventLoopGroup loops;
  private final GroupEngine engine;
  private final Map<BackendServerId, ServerFrontEnd> servers = new LinkedHashMap<>();

  private StandInGroup(StandInGroupSettings settings) {
    this.settings = settings;
    this.engineThread =
        Executors.newSingleThreadScheduledExecutor(
            action -> {
              Thread thread = new Thread(action, "standin-engine");
              thread.setDaemon(true);
              return thread;
            });
    this.loops = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    this.engine = GroupEngine.create(settings.servers(), settings.clock());
  }

  /**
   * Starts a group.
   *
   * @throws RuntimeException if a port is in use
   */
  public static StandInGroup start(StandInGroupSettings settings) {
    StandInGroup group = new StandInGroup(settings);
    try {
      for (int index = 0; index < settings.servers().size(); index++) {
        group.startServer(settings.servers().get(index), settings.ports().get(index));
      }
    } catch (RuntimeException failure) {
      group.close();
      throw failure;
    }
    return group;
  }

  private void startServer(BackendServerId id, int port) {
    StandInGroupSettings.Delays delays = settings.delays();
    ServerCounterRecorder counters = ServerCounterRecorder.create();
    StatementQueue queue =
        StatementQueue.create(
            engine,
            this::schedule,
            settings.slots(),
            delays.service(),
            counters::recordOccupiedSlots);
    ServerFrontEnd server =
        ServerFrontEnd.create(
            id, engine, queue, counters, engineThread, settings.connections(), delays.connect());
    servers.put(id, server);
    server.listen(loops, port);
    setReceiveDelay(id, delays.receive());
    setReplayLag(id, delays.replay());
  }

  private Timers.Timer schedule(Duration delay, Runnable action) {
    ScheduledFuture<?> scheduled =
        engineThread.schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
    return () -> scheduled.cancel(false);
  }

  /** Returns the address of a server; it stays the same after a restart. */
  public SocketEndpoint endpoint(BackendServerId server) {
    return front(server).endpoint();
  }

  /** Returns the counters of a server. */
  public ServerCounters counters(BackendServerId server) {
    return ServerCounters.of(front(server).counters().read());
  }

  /** Sets the time between a commit and its arrival at the server. */
  public void setReceiveDelay(BackendServerId server, Duration delay) {
    onEngine(() -> engine.setReceiveDelay(server, delay));
  }

  /** Sets the receive delay of all servers. */
  public void setReceiveDelay(Duration delay) {
    servers.keySet().forEach(server -> setReceiveDelay(server, delay));
  }

  /** Sets the time between the arrival of a commit at the server and its visibility there. */
  public void setReplayLag(BackendServerId server, Duration lag) {
    onEngine(() -> engine.setReplayLag(server, lag));
  }

  /** Sets the replay lag of all servers. */
  public void setReplayLag(Duration lag) {
    servers.keySet().forEach(server -> setReplayLag(server, lag));
  }

  /** Sets the time that a table statement occupies a slot of the server. */
  public void setServiceTime(BackendServerId server, Duration time) {
    onEngine(() -> front(server).queue().setServiceTime(time));
  }

  /** Cuts the server off from the other servers of the group, or connects it again. */
  public void setIsolatedFromPeers(BackendServerId server, boolean isolated) {
    onEngine(() -> engine.setIsolated(server, isolated));
  }

  /**
   * Exchanges no data between the server and the callers whose backend user or {@code
   * application_name} start-up parameter is in the set; an empty set ends the isolation.
   */
  public void isolateFromCallers(BackendServerId server, Set<String> callers) {
    front(server).isolateCallers(callers);
  }

  /** Stops the server's process: it accepts nothing and answers nothing until it resumes. */
  public void setPaused(BackendServerId server, boolean paused) {
    onEngine(
        () -> {
          engine.setPaused(server, paused);
          front(server).queue().setPaused(paused);
        });
    front(server).setPaused(paused);
  }

  /** Kills the server; its connections are cut and its log survives. */
  public void kill(BackendServerId server) {
    front(server).stopSending();
    onEngine(() -> engine.setRunning(server, false));
    front(server).kill();
  }

  /** Starts a killed server again, at the same address and in the role that it had. */
  public void restart(BackendServerId server) {
    ServerFrontEnd front = front(server);
    front.listen(loops, front.endpoint().port());
    onEngine(() -> engine.setRunning(server, true));
  }

  /** Ends the server's connections with SQLSTATE 57P01; the server goes on. */
  public void terminateConnections(BackendServerId server) {
    front(server).terminateConnections();
  }

  /**
   * Closes the connection in the middle of the server's next answer to a table statement or a
   * commit, after the statement took effect.
   */
  public void loseNextAnswer(BackendServerId server) {
    onEngine(() -> front(server).queue().loseNextAnswer());
  }

  @Override
  public void close() {
    engineThread.shutdownNow();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private ServerFrontEnd front(BackendServerId server) {
    ServerFrontEnd front = servers.get(server);
    if (front == null) {
      throw new IllegalArgumentException("the group has no server " + server);
    }
    return front;
  }

  private void onEngine(Runnable action) {
    CompletableFuture.runAsync(action, engineThread).join();
  }
}
