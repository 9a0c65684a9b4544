package org.persimmonwalk.entryhost;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import org.persimmonwalk.acknowledgement.ReplicatedAcknowledgement;
import org.persimmonwalk.admission.AdaptiveLimit;
import org.persimmonwalk.admission.FairQueue;
import org.persimmonwalk.admission.ServerScheduler;
import org.persimmonwalk.admission.ServerSchedulers;
import org.persimmonwalk.admission.ServiceTimes;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.internal.admin.AdminServer;
import org.persimmonwalk.internal.assembly.ControlPlane;
import org.persimmonwalk.internal.assembly.StopWaiter;
import org.persimmonwalk.internal.settings.Settings;
import org.persimmonwalk.internal.telemetry.LoggingSpanExporter;
import org.persimmonwalk.internal.telemetry.Tracing;
import org.persimmonwalk.internal.telemetry.TrafficListeners;
import org.persimmonwalk.internal.tls.TlsContexts;
import org.persimmonwalk.internal.traffic.backend.BackendConnector;
import org.persimmonwalk.internal.traffic.backend.ConnectionReporter;
import org.persimmonwalk.internal.traffic.backend.ConnectionWaiter;
import org.persimmonwalk.internal.traffic.backend.ReplacedPrimaryDisconnector;
import org.persimmonwalk.internal.traffic.backend.ServerPools;
import org.persimmonwalk.internal.traffic.caller.CallerListener;
import org.persimmonwalk.internal.traffic.caller.CallerRegistry;
import org.persimmonwalk.internal.traffic.caller.CallerSecurity;
import org.persimmonwalk.internal.traffic.caller.DrainWatcher;
import org.persimmonwalk.internal.traffic.caller.SnapshotWaiters;
import org.persimmonwalk.internal.traffic.caller.TlsSecurity;
import org.persimmonwalk.internal.traffic.caller.TrafficContext;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.observation.StopRequested;
import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.request.RequestPlanner;

/**
 * An entry host: accepts callers, chooses the backend server for each statement and forwards the
 * results. It owns the event loops, the control thread and the administration server.
 *
 * <p>Example:
 *
 * <pre>{@code
 * try (EntryHost host = EntryHost.start(settings, policies, new TrafficListener() {})) {
 *   connect(host.callerPort());
 * }
 * }</pre>
 */
public final class EntryHost implements AutoCloseable {
  /** Statements of this host that may wait for one backend server. */
  private static final int QUEUE_CAPACITY = 1_024;

  /** Committed writes of this host that may wait for confirmation by a replica. */
  private static final int MAXIMUM_PENDING_WRITES = 10_000;

  /** Statements of this host that may be in flight at one backend server. */
  private static final int MAXIMUM_IN_FLIGHT = 64;

  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(NioIoHandler.newFactory());
  private final MonotonicClock clock = MonotonicClock.system();
  private final MetricRegistry metrics = new MetricRegistry();
  private final ControlPlane control;
  private final ServerPools pools;
  private final CallerRegistry callerRegistry;
  private final CallerListener callerListener;
  private final AdminServer admin;
  private final Tracing tracing;
  private final StopWaiter stopWaiter = StopWaiter.create();

  private EntryHost(Settings settings, TrafficPolicies.Factory policies, TrafficListener listener) {
    tracing = Tracing.of(settings.trace().sampleRatio(), LoggingSpanExporter.create());
    BackendConnector connector = BackendConnector.of(eventLoops, settings.backend());
    control = ControlPlane.create(settings, eventLoops, connector, clock);
    ControlLoop loop = control.loop();
    pools =
        ServerPools.of(
            connector,
            // One connection of the allowance is for the monitor connection.
            server ->
                loop.snapshot().get(Entries.CONNECTION_ALLOWANCES).getOrDefault(server.id(), 0) - 1,
            ServerSchedulers.of(server -> createScheduler(loop)),
            clock,
            eventLoops);
    callerRegistry = CallerRegistry.of(settings.caller().maximumConnections());
    SnapshotWaiters waiters = SnapshotWaiters.create();
    ReplicatedAcknowledgement acknowledgement =
        ReplicatedAcknowledgement.of(MAXIMUM_PENDING_WRITES, loop::post);
    loop.addListener(acknowledgement);
    loop.addListener(waiters);
    loop.addListener(stopWaiter);
    loop.addListener(ReplacedPrimaryDisconnector.of(pools));
    loop.addListener(ConnectionReporter.of(pools, control.monitorConnections(), loop::post));
    loop.addListener(DrainWatcher.of(callerRegistry, loop::post));
    TrafficPolicies trafficPolicies = policies.create(loop::post);
    trafficPolicies.listeners().forEach(loop::addListener);
    TrafficContext context =
        new TrafficContext(
            settings.caller(),
            loop,
            createPlanner(settings, trafficPolicies),
            trafficPolicies.retries(),
            new TrafficContext.Backends(pools, connector, settings.backend().answerTimeout()),
            acknowledgement,
            waiters,
            new TrafficContext.Instruments(
                clock,
                TrafficListeners.of(listener, TrafficMetrics.of(metrics)),
                tracing.tracer()));
    loop.addListener(ControlMetrics.of(metrics, clock, loop::droppedObservations));
    control.start();
    admin = AdminServer.start(settings, loop::snapshot, metrics, this::drain);
    callerListener =
        CallerListener.open(eventLoops, context, callerRegistry, callerSecurity(settings.caller()));
  }

  /**
   * Starts a host, which accepts callers once it has a current configuration.
   *
   * @param listener is called on traffic threads for each statement
   */
  public static EntryHost start(
      Settings settings, TrafficPolicies.Factory policies, TrafficListener listener) {
    return new EntryHost(settings, policies, listener);
  }

  /** Returns the newest snapshot of the control state. */
  public Snapshot snapshot() {
    return control.loop().snapshot();
  }

  /** Returns the port on which the host listens for callers. */
  public int callerPort() {
    return callerListener.port();
  }

  /** Returns the port of the administration interface. */
  public int adminPort() {
    return admin.port();
  }

  /** Returns the endpoint on which the host listens for other entry hosts. */
  public SocketEndpoint peerEndpoint() {
    return control.peerEndpoint();
  }

  /**
   * Starts draining the host: it ends each session after its current request or transaction.
   *
   * @see #awaitStop
   */
  public void drain() {
    control.loop().post(new StopRequested());
  }

  /**
   * Waits until draining has finished, after which the host can be closed.
   *
   * @return whether draining finished within the given time
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public boolean awaitStop(Duration timeout) throws InterruptedException {
    return stopWaiter.await(timeout);
  }

  @Override
  public void close() {
    admin.close();
    callerListener.close();
    pools.close();
    control.close();
    tracing.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private CallerSecurity callerSecurity(Settings.Caller caller) {
    if (caller.tls().isEmpty()) {
      return CallerSecurity.plainText();
    }
    Settings.CallerTls tls = caller.tls().get();
    TlsContexts contexts = TlsContexts.load("caller.tls", tls.files(), InstantSource.system());
    contexts.watch(eventLoops.next());
    return TlsSecurity.of(contexts, tls.required(), caller.messageTimeout());
  }

  /**
   * Creates the scheduler of one backend server. The weight of a workspace in its queue is the rate
   * limit of the workspace, so one that stays within its limit also stays within its fair share.
   */
  private static ServerScheduler<ConnectionWaiter> createScheduler(ControlLoop loop) {
    ServiceTimes times = ServiceTimes.create();
    return ServerScheduler.of(
        FairQueue.of(
            QUEUE_CAPACITY,
            workspace ->
                loop.snapshot()
                    .get(Entries.CONFIGURATION)
                    .workspace(workspace)
                    .map(Workspace::rate)
                    .orElse(1.0),
            times),
        AdaptiveLimit.of(MAXIMUM_IN_FLIGHT),
        times);
  }

  private RequestPlanner createPlanner(Settings settings, TrafficPolicies policies) {
    return RequestPlanner.of(
        settings.host().zone(),
        policies.keys(),
        policies.admission(),
        policies.router().create(pools));
  }
}
