package org.persimmonwalk.bench.capacity;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.persimmonwalk.admission.ServerScheduler;
import org.persimmonwalk.admission.ServerSchedulers;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.ObjectName;
import org.persimmonwalk.internal.settings.Settings;
import org.persimmonwalk.internal.traffic.backend.BackendConnector;
import org.persimmonwalk.internal.traffic.backend.ConnectionReporter;
import org.persimmonwalk.internal.traffic.backend.ConnectionWaiter;
import org.persimmonwalk.internal.traffic.backend.MonitorConnections;
import org.persimmonwalk.internal.traffic.backend.ServerPools;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.ConfigurationRow;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.LogPosition;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ServerSample;
import org.persimmonwalk.model.Term;
import org.persimmonwalk.observation.PeerMessageReceived;
import org.persimmonwalk.peer.PeerCodec;
import org.persimmonwalk.peer.PeerEnvelope;
import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.port.RandomSource;

/**
 * Runs the control loops of all entry hosts of a deployment on the calling thread, in simulated
 * time.
 *
 * <p>Each host runs at most one round per tick, so that answers that arrive within a tick share a
 * round.
 */
final class SimulatedFleet implements AutoCloseable {
  private static final long STATEMENT_INTERVAL_MILLISECONDS = 100;
  private static final int MAXIMUM_NETWORK_DELAY_MILLISECONDS = 3;
  private static final long BYTES_WRITTEN_PER_MILLISECOND = 100;
  private static final long REPLAY_LAG_MILLISECONDS = 20;
  private static final String PRIMARY_SUFFIX = "-server-0";
  private static final Settings.Backend BACKEND =
      new Settings.Backend("user", "password", Duration.ofSeconds(1), Duration.ofSeconds(1));

  private final SimulatedClock clock = new SimulatedClock();
  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Map<EntryHostId, SimulatedHost> hostsById = new HashMap<>();
  private final List<SimulatedHost> hosts = new ArrayList<>();
  private final List<HostEntry> hostEntries;
  private final SimulatedStore store;
  private final Duration tick;
  private final boolean probesAnswered;
  private long ticks;

  private SimulatedFleet(Sizes sizes, Duration tick, boolean probesAnswered) {
    this.tick = tick;
    this.probesAnswered = probesAnswered;
    Configuration configuration = SyntheticConfiguration.of(sizes);
    ObjectName object = ObjectName.of("configuration-1");
    store =
        SimulatedStore.of(
            configuration,
            ConfigurationRow.of(configuration.revision(), configuration.note(), object));
    hostEntries = SyntheticConfiguration.hosts(sizes.hosts());
    for (int i = 0; i < hostEntries.size(); i++) {
      add(SimulatedHost.of(hostEntries.get(i), this, RandomSource.seeded(i + 1L)));
    }
  }

  /** Returns a fleet whose hosts all start at the same time. */
  static SimulatedFleet of(Sizes sizes, Duration tick) {
    return new SimulatedFleet(sizes, tick, true);
  }

  /** Returns a fleet whose probes of backend servers are never answered. */
  static SimulatedFleet withoutProbes(Sizes sizes, Duration tick) {
    return new SimulatedFleet(sizes, tick, false);
  }

  boolean answersProbes() {
    return probesAnswered;
  }

  /** Advances the clock by the given time, tick by tick, and runs all hosts. */
  void run(Duration duration) {
    MonotonicTime end = clock.now().plus(duration);
    long statementTicks = Math.max(1, STATEMENT_INTERVAL_MILLISECONDS / tick.toMillis());
    while (clock.now().isBefore(end)) {
      clock.advance(tick);
      ticks++;
      for (int i = 0; i < hosts.size(); i++) {
        if ((ticks + i) % statementTicks == 0) {
          hosts.get(i).offerStatements(clock.now());
        }
        hosts.get(i).step(clock.now());
      }
    }
  }

  SimulatedHost host(int number) {
    return hosts.get(number);
  }

  SimulatedClock clock() {
    return clock;
  }

  SimulatedStore store() {
    return store;
  }

  List<HostEntry> hostEntries() {
    return hostEntries;
  }

  /** Returns the answer of a server to a probe; server 0 of each group is the primary. */
  ServerSample sample(BackendServerId server, MonotonicTime at) {
    long milliseconds = at.nanoseconds() / 1_000_000;
    Term term = Term.of(1);
    if (server.value().endsWith(PRIMARY_SUFFIX)) {
      return ServerSample.ofPrimary(term, position(milliseconds));
    }
    LogPosition replayed = position(Math.max(0, milliseconds - REPLAY_LAG_MILLISECONDS));
    return ServerSample.ofReplica(term, position(milliseconds), replayed, Duration.ZERO);
  }

  Duration networkDelay(RandomSource random) {
    return Duration.ofMillis(1 + random.nextInt(MAXIMUM_NETWORK_DELAY_MILLISECONDS));
  }

  void deliver(EntryHostId to, byte[] message, RandomSource random) {
    hostsById.get(to).receive(message, networkDelay(random));
  }

  static Observation decode(byte[] message) {
    PeerEnvelope envelope = PeerCodec.decode(ByteBuffer.wrap(message));
    return new PeerMessageReceived(envelope.from(), envelope.message());
  }

  @Override
  public void close() {
    eventLoops.shutdownGracefully();
  }

  private void add(SimulatedHost host) {
    BackendConnector connector = BackendConnector.of(eventLoops, BACKEND);
    host.loop()
        .addListener(
            ConnectionReporter.of(
                ServerPools.of(
                    connector,
                    server -> 0,
                    ServerSchedulers.of(SimulatedFleet::unusedScheduler),
                    MonotonicClock.system(),
                    eventLoops),
                MonitorConnections.of(connector, Duration.ofSeconds(1), server -> false),
                host::post));
    hosts.add(host);
    hostsById.put(host.id(), host);
  }

  /** Fails, because the hosts of this fleet have no callers and never schedule a statement. */
  private static ServerScheduler<ConnectionWaiter> unusedScheduler(BackendServerId server) {
    throw new IllegalStateException(
        "a statement was scheduled in a fleet without callers, for " + server);
  }

  private static LogPosition position(long milliseconds) {
    return LogPosition.of(milliseconds * BYTES_WRITTEN_PER_MILLISECOND);
  }
}
