package org.persimmonwalk.entryhost;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.opentelemetry.api.OpenTelemetry;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.command.SampleServer;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.internal.control.configuration.ConfigurationController;
import org.persimmonwalk.internal.control.position.FixedIntervalSampling;
import org.persimmonwalk.internal.control.position.ReplicaPositionController;
import org.persimmonwalk.internal.execution.CommandDispatcher;
import org.persimmonwalk.internal.execution.ControlThread;
import org.persimmonwalk.internal.execution.SampleServerHandler;
import org.persimmonwalk.internal.settings.Settings;
import org.persimmonwalk.internal.traffic.backend.BackendConnector;
import org.persimmonwalk.internal.traffic.backend.MonitorConnections;
import org.persimmonwalk.internal.traffic.backend.ServerPools;
import org.persimmonwalk.internal.traffic.caller.CallerListener;
import org.persimmonwalk.internal.traffic.caller.CallerRegistry;
import org.persimmonwalk.internal.traffic.caller.SnapshotAcknowledger;
import org.persimmonwalk.internal.traffic.caller.SnapshotWaiters;
import org.persimmonwalk.internal.traffic.caller.TrafficContext;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.observation.ConfigurationLoaded;
import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.request.RequestPlanner;

/**
 * An entry host: accepts callers, decides where their statements run, and passes on the answers.
 *
 * <p>Example:
 *
 * <pre>{@code
 * try (EntryHost host = EntryHost.start(settings, policies, new TrafficListener() {})) {
 *   host.load(configuration);
 *   connect(host.callerPort());
 * }
 * }</pre>
 */
public final class EntryHost implements AutoCloseable {
  private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(50);
  private static final Duration SAMPLE_TIMEOUT = Duration.ofMillis(500);

  /** The share of a server's connections that one host may use. */
  private static final int HOSTS_PER_SERVER = 20;

  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(NioIoHandler.newFactory());
  private final MonotonicClock clock = MonotonicClock.system();
  private final CommandDispatcher dispatcher = CommandDispatcher.create();
  private final ControlLoop control;
  private final ControlThread controlThread;
  private final ServerPools pools;
  private final MonitorConnections monitors;
  private final CallerListener callers;

  private EntryHost(Settings settings, TrafficPolicies policies, TrafficListener listener) {
    control = ControlLoop.of(controllers(), dispatcher, clock, RandomSource.system());
    BackendConnector connector = BackendConnector.of(eventLoops, settings.backend());
    pools =
        ServerPools.of(
            connector, server -> Math.max(1, server.connections() / HOSTS_PER_SERVER - 1));
    monitors = MonitorConnections.of(connector, SAMPLE_TIMEOUT, server -> true);
    dispatcher.register(
        SampleServer.class, SampleServerHandler.of(monitors, this::groupOf, clock, control::post));
    SnapshotWaiters waiters = SnapshotWaiters.create();
    control.addListener(waiters);
    TrafficContext context =
        new TrafficContext(
            settings.caller(),
            control,
            planner(settings, policies),
            policies.retries(),
            new TrafficContext.Backends(pools, connector, settings.backend().answerTimeout()),
            SnapshotAcknowledger.of(control, waiters, clock),
            waiters,
            new TrafficContext.Instruments(
                clock, listener, OpenTelemetry.noop().getTracer("persimmonwalk")));
    controlThread = ControlThread.start(control, settings.host().id());
    callers =
        CallerListener.open(
            eventLoops, context, CallerRegistry.of(settings.caller().maximumConnections()));
  }

  /** Starts a host with the given settings and policies. */
  public static EntryHost start(
      Settings settings, TrafficPolicies policies, TrafficListener listener) {
    return new EntryHost(settings, policies, listener);
  }

  /** Returns the newest snapshot of the control state. */
  public Snapshot snapshot() {
    return control.snapshot();
  }

  /** Puts a configuration in force if it is newer than the one in force. */
  public void load(Configuration configuration) {
    control.post(new ConfigurationLoaded(configuration, clock.now()));
  }

  /** Returns the port on which the host listens for callers. */
  public int callerPort() {
    return callers.port();
  }

  @Override
  public void close() {
    callers.close();
    controlThread.stop();
    monitors.close();
    pools.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private RequestPlanner planner(Settings settings, TrafficPolicies policies) {
    return RequestPlanner.of(
        settings.host().zone(),
        policies.keys(),
        policies.admission(),
        policies.router().create(pools));
  }

  private static List<Controller> controllers() {
    return List.of(
        ConfigurationController.create(),
        FixedIntervalSampling.of(SAMPLE_INTERVAL),
        ReplicaPositionController.create());
  }

  private DatabaseGroupId groupOf(BackendServerId server) {
    return control
        .snapshot()
        .get(Entries.CONFIGURATION)
        .groupOf(server)
        .map(DatabaseGroup::id)
        .orElseThrow();
  }
}
