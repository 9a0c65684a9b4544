package org.persimmonwalk.internal.assembly;

import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.ControlThread;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.command.CompareAndSetTableRow;
import org.persimmonwalk.command.ListHosts;
import org.persimmonwalk.command.LoadConfiguration;
import org.persimmonwalk.command.ReadTableRow;
import org.persimmonwalk.command.SampleServer;
import org.persimmonwalk.command.SendPeerMessage;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.internal.control.allowance.AllowanceController;
import org.persimmonwalk.internal.control.configuration.ConfigurationController;
import org.persimmonwalk.internal.control.drain.DrainController;
import org.persimmonwalk.internal.control.key.KeyController;
import org.persimmonwalk.internal.control.lease.LeaseSettings;
import org.persimmonwalk.internal.control.membership.MembershipController;
import org.persimmonwalk.internal.control.position.ReplicaPositionController;
import org.persimmonwalk.internal.control.position.SamplingController;
import org.persimmonwalk.internal.control.position.SamplingSettings;
import org.persimmonwalk.internal.control.primary.FollowController;
import org.persimmonwalk.internal.control.primary.PrimaryController;
import org.persimmonwalk.internal.control.primary.PromotionSettings;
import org.persimmonwalk.internal.control.share.ShareController;
import org.persimmonwalk.internal.execution.CommandDispatcher;
import org.persimmonwalk.internal.execution.CompareAndSetTableRowHandler;
import org.persimmonwalk.internal.execution.ListHostsHandler;
import org.persimmonwalk.internal.execution.LoadConfigurationHandler;
import org.persimmonwalk.internal.execution.PromotionFunctions;
import org.persimmonwalk.internal.execution.ReadTableRowHandler;
import org.persimmonwalk.internal.execution.SampleServerHandler;
import org.persimmonwalk.internal.execution.SendPeerMessageHandler;
import org.persimmonwalk.internal.settings.Settings;
import org.persimmonwalk.internal.tls.TlsContexts;
import org.persimmonwalk.internal.traffic.backend.BackendConnector;
import org.persimmonwalk.internal.traffic.backend.MonitorConnections;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.observation.PeerMessageReceived;
import org.persimmonwalk.peer.MutualTls;
import org.persimmonwalk.peer.PeerClient;
import org.persimmonwalk.peer.PeerSecurity;
import org.persimmonwalk.peer.PeerServer;
import org.persimmonwalk.peer.PeerSettings;
import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.port.TableService;
import org.persimmonwalk.store.PlatformClient;
import org.persimmonwalk.store.PlatformObjectStore;
import org.persimmonwalk.store.PlatformSettings;
import org.persimmonwalk.store.PlatformTableService;
import org.persimmonwalk.store.RowCodecs;
import org.tinylog.Logger;

/**
 * The control thread of an entry host, its controllers, and the handlers and connections that
 * execute their commands.
 */
public final class ControlPlane implements AutoCloseable {
  /** Longest time between two rounds, and so the precision of the timers of the controllers. */
  private static final Duration MAXIMUM_ROUND_INTERVAL = Duration.ofMillis(20);

  private static final Duration SAMPLE_TIMEOUT = Duration.ofMillis(500);

  private final MonotonicClock clock;
  private final CommandDispatcher dispatcher = CommandDispatcher.create();
  private final PlatformClient platform;
  private final PeerServer peerServer;
  private final PeerClient peerClient;
  private final MonitorConnections monitorConnections;
  private final ControlLoop loop;
  private final EntryHostId self;
  private Optional<ControlThread> thread = Optional.empty();

  private ControlPlane(
      Settings settings,
      EventLoopGroup eventLoops,
      BackendConnector connector,
      MonotonicClock clock) {
    this.clock = clock;
    this.self = settings.host().id();
    ObservationRelay relay = ObservationRelay.create();
    PeerSecurity peerSecurity = peerSecurity(settings.peer(), eventLoops);
    peerServer =
        PeerServer.start(
            self,
            settings.peer().listen(),
            eventLoops,
            PeerSettings.defaults(),
            peerSecurity,
            (from, message) -> relay.accept(new PeerMessageReceived(from, message)));
    HostEntry entry = HostEntry.of(self, settings.host().zone(), peerServer.endpoint());
    loop = ControlLoop.of(controllers(entry), dispatcher, clock, RandomSource.system());
    relay.connect(loop);
    platform =
        PlatformClient.create(
            PlatformSettings.of(settings.platform().endpoint(), settings.host().zone())
                .withTimeout(settings.platform().timeout()));
    peerClient =
        PeerClient.of(
            self,
            this::endpointOf,
            eventLoops,
            PeerSettings.defaults(),
            peerSecurity,
            RandomSource.system());
    monitorConnections = MonitorConnections.of(connector, SAMPLE_TIMEOUT, this::mayConnect);
    registerPlatformHandlers();
    registerServerHandlers();
    dispatcher.register(SendPeerMessage.class, SendPeerMessageHandler.of(peerClient));
  }

  /** Returns a control plane whose control thread has not been started. */
  public static ControlPlane create(
      Settings settings,
      EventLoopGroup eventLoops,
      BackendConnector connector,
      MonotonicClock clock) {
    return new ControlPlane(settings, eventLoops, connector, clock);
  }

  /** Starts the control thread. */
  public void start() {
    thread =
        Optional.of(
            ControlThread.start(
                loop,
                MAXIMUM_ROUND_INTERVAL,
                "control-" + self,
                failure ->
                    Logger.error(
                        failure, "a round of the control loop failed; later rounds continue")));
  }

  /** Returns the control loop. */
  public ControlLoop loop() {
    return loop;
  }

  /** Returns the connections that sample and administer the backend servers. */
  public MonitorConnections monitorConnections() {
    return monitorConnections;
  }

  /** Returns the endpoint on which this host listens for its peers. */
  public SocketEndpoint peerEndpoint() {
    return peerServer.endpoint();
  }

  @Override
  public void close() {
    if (thread.isPresent() && !thread.get().stop()) {
      Logger.warn("the control thread did not stop in time");
    }
    monitorConnections.close();
    peerClient.close();
    peerServer.close();
    platform.close();
  }

  /** Returns the controllers of a host in the order in which each round runs them. */
  public static List<Controller> controllers(HostEntry entry) {
    return List.of(
        ConfigurationController.create(),
        KeyController.create(),
        MembershipController.of(entry),
        SamplingController.of(SamplingSettings.defaults()),
        ReplicaPositionController.create(),
        PrimaryController.of(entry.id(), PromotionSettings.defaults()),
        FollowController.of(entry.id(), PromotionSettings.defaults()),
        ShareController.of(entry.id(), LeaseSettings.SHARES),
        AllowanceController.of(entry.id(), LeaseSettings.CONNECTIONS),
        DrainController.create());
  }

  private static PeerSecurity peerSecurity(Settings.Peer peer, EventLoopGroup eventLoops) {
    if (peer.tls().isEmpty()) {
      return PeerSecurity.plainText();
    }
    TlsContexts contexts = TlsContexts.load("peer.tls", peer.tls().get(), InstantSource.system());
    contexts.watch(eventLoops.next());
    return MutualTls.of(contexts::serverContext, contexts::clientContext);
  }

  private void registerPlatformHandlers() {
    TableService tables = PlatformTableService.of(platform, RowCodecs.standard());
    dispatcher.register(ReadTableRow.class, ReadTableRowHandler.of(tables, clock, loop::post));
    dispatcher.register(
        CompareAndSetTableRow.class, CompareAndSetTableRowHandler.of(tables, clock, loop::post));
    dispatcher.register(
        LoadConfiguration.class,
        LoadConfigurationHandler.of(tables, PlatformObjectStore.of(platform), clock, loop::post));
    dispatcher.register(ListHosts.class, ListHostsHandler.of(platform, clock, loop::post));
  }

  private void registerServerHandlers() {
    dispatcher.register(
        SampleServer.class,
        SampleServerHandler.of(monitorConnections, this::groupOf, clock, loop::post));
    PromotionFunctions.of(monitorConnections, this::groupOf, loop::post).register(dispatcher);
  }

  private Optional<SocketEndpoint> endpointOf(EntryHostId host) {
    return Optional.ofNullable(loop.snapshot().get(Entries.HOSTS).get(host))
        .map(HostEntry::endpoint);
  }

  private boolean mayConnect(BackendServerId server) {
    return loop.snapshot().get(Entries.CONNECTION_ALLOWANCES).getOrDefault(server, 0) > 0;
  }

  private DatabaseGroupId groupOf(BackendServerId server) {
    return loop.snapshot()
        .get(Entries.CONFIGURATION)
        .groupOf(server)
        .map(DatabaseGroup::id)
        .orElseThrow();
  }
}
