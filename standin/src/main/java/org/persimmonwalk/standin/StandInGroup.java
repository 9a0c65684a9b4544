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
 * loopback, for tests and the demo. One thread runs the engine; two event loops serve all
 * connections. The methods may be called from any other thread; a fault or setting has taken effect
 * when its method returns.
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
  private final Map<BackendServerId, ServerFrontEnd> frontEnds = new LinkedHashMap<>();

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
   * Starts a group whose first server is the primary.
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
    frontEnds.put(id, server);
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
    return frontEnd(server).endpoint();
  }

  /** Returns the counters of a server. */
  public ServerCounters counters(BackendServerId server) {
    return ServerCounters.of(frontEnd(server).counters().read());
  }

  /** Sets the time between a commit on the primary and its arrival in the server's log. */
  public void setReceiveDelay(BackendServerId server, Duration delay) {
    onEngineThread(() -> engine.setReceiveDelay(server, delay));
  }

  /** Sets the receive delay of all servers. */
  public void setReceiveDelay(Duration delay) {
    frontEnds.keySet().forEach(server -> setReceiveDelay(server, delay));
  }

  /** Sets the time between a commit's arrival in the server's log and its visibility to reads. */
  public void setReplayLag(BackendServerId server, Duration lag) {
    onEngineThread(() -> engine.setReplayLag(server, lag));
  }

  /** Sets the replay lag of all servers. */
  public void setReplayLag(Duration lag) {
    frontEnds.keySet().forEach(server -> setReplayLag(server, lag));
  }

  /** Sets how long each statement that reads or writes a table occupies a slot of the server. */
  public void setServiceTime(BackendServerId server, Duration time) {
    onEngineThread(() -> frontEnd(server).queue().setServiceTime(time));
  }

  /** Cuts the server off from the other servers of the group, or connects it again. */
  public void setIsolatedFromPeers(BackendServerId server, boolean isolated) {
    onEngineThread(() -> engine.setIsolated(server, isolated));
  }

  /**
   * Isolates the server from the callers whose {@code user} or {@code application_name} start-up
   * parameter is in the set: their connections stay open, but no messages are handled or sent. The
   * set replaces the one of the last call; an empty set ends the isolation.
   */
  public void isolateFromCallers(BackendServerId server, Set<String> callers) {
    frontEnd(server).isolateCallers(callers);
  }

  /**
   * Suspends the server, or resumes it. While suspended it accepts no connections, handles no
   * messages and neither receives nor replays log records.
   */
  public void setPaused(BackendServerId server, boolean paused) {
    onEngineThread(
        () -> {
          engine.setPaused(server, paused);
          frontEnd(server).queue().setPaused(paused);
        });
    frontEnd(server).setPaused(paused);
  }

  /** Kills the server: its connections close without an error message, its log survives. */
  public void kill(BackendServerId server) {
    frontEnd(server).stopSending();
    onEngineThread(() -> engine.setRunning(server, false));
    frontEnd(server).kill();
  }

  /** Restarts a killed server at the same address and in the role that it had. */
  public void restart(BackendServerId server) {
    ServerFrontEnd frontEnd = frontEnd(server);
    frontEnd.listen(loops, frontEnd.endpoint().port());
    onEngineThread(() -> engine.setRunning(server, true));
  }

  /** Closes the server's connections with SQLSTATE 57P01; the server still accepts new ones. */
  public void terminateConnections(BackendServerId server) {
    frontEnd(server).terminateConnections();
  }

  /**
   * Closes the connection in the middle of the server's next answer to a table statement or a
   * commit, after the statement took effect.
   */
  public void loseNextAnswer(BackendServerId server) {
    onEngineThread(() -> frontEnd(server).queue().loseNextAnswer());
  }

  @Override
  public void close() {
    engineThread.shutdownNow();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private ServerFrontEnd frontEnd(BackendServerId server) {
    ServerFrontEnd frontEnd = frontEnds.get(server);
    if (frontEnd == null) {
      throw new IllegalArgumentException("the group has no server " + server);
    }
    return frontEnd;
  }

  private void onEngineThread(Runnable action) {
    CompletableFuture.runAsync(action, engineThread).join();
  }
}
