package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.engine.DatabaseName;
import org.persimmonwalk.engine.GroupSettings;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.SuspensionDetector;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.PrimaryView;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.engine.testing.FakeScheduler;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.FakeClock;

/**
 * Replays the operations of a deployment on the pools of all its hosts, in front of six groups of
 * three servers. Each group has all routes and twelve workspaces, one of them in the first group a
 * large one.
 */
final class UrgencyReplay {
  private static final int GROUPS = 6;
  private static final int SERVERS_PER_GROUP = 3;
  private static final int SLOTS = 4;
  private static final int WORKSPACES_PER_GROUP = 12;

  /** The part of a group's operations that its large workspace sends. */
  private static final double LARGE_PART = 0.3;

  private static final int ZONES = 3;
  private static final Duration TICK = Duration.ofMillis(100);
  private static final Duration SUSPENSION_TOLERANCE = Duration.ofMillis(250);
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final Duration VERIFICATION = Duration.ofSeconds(1);

  /** A route with its load, as docs/load-across-hosts.md states it. */
  record Load(
      String name,
      RouteKind kind,
      int priority,
      double perSecond,
      double workMillis,
      int targetMillis,
      int deadlineMillis,
      double writes,
      double transactions) {

    Load withPriority(int changed) {
      return new Load(
          name,
          kind,
          changed,
          perSecond,
          workMillis,
          targetMillis,
          deadlineMillis,
          writes,
          transactions);
    }
  }

  /** What happened to the operations of a route. */
  static final class Tally {
    int started;
    int inTime;
    int late;
    int refused;
    int unknown;

    /** How often each reason was given. */
    final Map<String, Integer> reasons = new TreeMap<>();

    @Override
    public String toString() {
      return "started "
          + started
          + ", in time "
          + inTime
          + ", late "
          + late
          + ", refused "
          + refused
          + ", unknown "
          + unknown;
    }
  }

  /** What happened to the operations of each route since the last clearing. */
  final Map<String, Tally> tallies = new TreeMap<>();

  final Map<String, Integer> counted = new TreeMap<>();
  final List<String> events = new ArrayList<>();

  /** By how much all callers send more than usual. */
  double burst = 1;

  /** By how much the large workspace of the first group sends more than usual. */
  double largeBurst = 1;

  final QueueingServers servers;
  final ReplayedZones zones;

  private final FakeClock clock = new FakeClock();
  private final FakeScheduler scheduler = new FakeScheduler(clock);
  private final SplittableRandom random = new SplittableRandom(17);
  private final List<Load> loads;
  private final Map<DatabaseName, Route> routes = new HashMap<>();
  private final List<Host> hosts = new ArrayList<>();
  private final Map<BackendServerId, ServerEntry> entries = new HashMap<>();
  private final int connectionsPerServer;
  private long operations;

  UrgencyReplay(int hostCount, int connectionsPerServer, List<Load> loads) {
    this.loads = loads;
    this.connectionsPerServer = connectionsPerServer;
    this.servers = new QueueingServers(scheduler, connectionsPerServer);
    this.zones = new ReplayedZones(clock, ZONES);
    for (int group = 0; group < GROUPS; group++) {
      for (int i = 0; i < SERVERS_PER_GROUP; i++) {
        ServerEntry entry = server(group, i);
        entries.put(entry.id(), entry);
      }
      for (Load load : loads) {
        Route route = route(load, group);
        routes.put(route.database(), route);
      }
    }
    for (int i = 0; i < hostCount; i++) {
      hosts.add(new Host(i, hostCount));
    }
    loads.forEach(load -> scheduleArrival(load, false));
    loads.forEach(load -> scheduleArrival(load, true));
    scheduler.schedule(ReplayedZones.INTERVAL, this::report);
  }

  private static DatabaseGroupId groupId(int group) {
    return DatabaseGroupId.of("g" + group);
  }

  static BackendServerId serverId(int group, int number) {
    return BackendServerId.of("s" + group + "-" + number);
  }

  private static ServerEntry server(int group, int number) {
    return new ServerEntry(
        serverId(group, number),
        groupId(group),
        SocketEndpoint.of("10.0." + group + "." + number, 1000),
        AvailabilityZone.of(String.valueOf((char) ('a' + number))),
        SLOTS,
        false,
        number == 0,
        1);
  }

  private static DatabaseName database(Load load, int group) {
    return DatabaseName.of(load.name() + "-" + group);
  }

  private static Route route(Load load, int group) {
    return new Route(
        database(load, group),
        groupId(group),
        load.kind(),
        Duration.ofMillis(load.deadlineMillis()),
        Duration.ofMillis(load.targetMillis()),
        load.priority(),
        load.kind() == RouteKind.PRIMARY ? Duration.ZERO : Duration.ofMillis(1500),
        false);
  }

  /** Runs for some time. */
  void run(Duration duration) {
    scheduler.advance(duration);
  }

  /** Forgets what has happened so far. */
  void clear() {
    tallies.clear();
    counted.clear();
    events.clear();
  }

  Tally tally(String route) {
    return tallies.computeIfAbsent(route, unused -> new Tally());
  }

  private void report() {
    zones.publish();
    scheduler.schedule(ReplayedZones.INTERVAL, this::report);
  }

  private void scheduleArrival(Load load, boolean large) {
    double part = large ? LARGE_PART / GROUPS : 1 - LARGE_PART / GROUPS;
    double factor = burst * (large ? largeBurst : 1);
    double seconds = -Math.log(1 - random.nextDouble()) / (load.perSecond() * part * factor);
    scheduler.schedule(
        Duration.ofNanos((long) (seconds * 1e9)),
        () -> {
          arrive(load, large);
          scheduleArrival(load, large);
        });
  }

  private void arrive(Load load, boolean large) {
    int group = large ? 0 : random.nextInt(GROUPS);
    int workspace = large ? 0 : 1 + random.nextInt(WORKSPACES_PER_GROUP - 1);
    Host host = hosts.get(random.nextInt(hosts.size()));
    Tally tally = tally(load.name());
    tally.started++;
    new ReplayedOperation(
            host.context,
            host.pools,
            routes.get(database(load, group)),
            WorkspaceId.of("w" + group + "-" + workspace),
            load,
            "r" + operations++,
            tally)
        .start(random.nextDouble() < load.transactions(), random.nextDouble() < load.writes());
  }

  /** One host: its pools on a snapshot that the test writes. */
  private final class Host implements TrafficMeter {
    private final TrafficContext context;
    private final ServerPools pools;
    private final ControlLoop loop;

    private Host(int number, int hostCount) {
      RandomSource own = RandomSource.seeded(number);
      loop =
          ControlLoop.of(
              List.of(
                  (blackboard, round) -> {
                    blackboard.put(EngineEntries.FLEET_SIZE, hostCount);
                    // Not copied: the order of Map.copyOf differs between runs.
                    blackboard.put(EngineEntries.SERVERS, entries);
                    blackboard.put(EngineEntries.CONFIGURATION, configuration());
                    blackboard.put(EngineEntries.VERIFIED_AT, Optional.of(clock.now()));
                    blackboard.put(
                        EngineEntries.CONFIGURATION_VERIFIED_AT, Optional.of(clock.now()));
                    blackboard.put(EngineEntries.PRIMARIES, primaries());
                    blackboard.put(EngineEntries.ZONE_LOADS, zones.loads(number % ZONES));
                  }),
              command -> {},
              clock,
              own);
      loop.runRound();
      EngineSettings settings =
          EngineSettingsFixture.of(number, ZONES, EngineSettingsFixture.USUAL_BOUNDS);
      context =
          new TrafficContext(
              settings,
              settings.timings(),
              clock,
              own,
              scheduler,
              servers,
              loop::snapshot,
              observation -> zones.receive(number % ZONES, observation),
              (event, fields) -> events.add(event + List.of(fields)),
              this,
              SuspensionDetector.of(
                  clock, () -> clock.now().nanoseconds() / NANOS_PER_MILLI, SUSPENSION_TOLERANCE));
      pools = new ServerPools(context);
      pools.onSnapshotChanged();
      scheduler.schedule(TICK.multipliedBy(number).dividedBy(hostCount), this::tick);
      zones.onPublished(loop::runRound);
    }

    private void tick() {
      pools.tick(clock.now());
      scheduler.schedule(TICK, this::tick);
    }

    @Override
    public void count(String event) {
      counted.merge(event, 1, Integer::sum);
    }

    @Override
    public void time(String event, Duration duration) {}
  }

  private RoutingConfiguration configuration() {
    Map<DatabaseGroupId, GroupSettings> groups = new HashMap<>();
    for (int group = 0; group < GROUPS; group++) {
      groups.put(groupId(group), new GroupSettings(connectionsPerServer, 0));
    }
    return new RoutingConfiguration(1, routes, groups, Map.of(), Map.of(), VERIFICATION);
  }

  private static Map<DatabaseGroupId, PrimaryView> primaries() {
    Map<DatabaseGroupId, PrimaryView> primaries = new HashMap<>();
    for (int group = 0; group < GROUPS; group++) {
      primaries.put(
          groupId(group), new PrimaryView(Optional.of(server(group, 0)), Optional.empty()));
    }
    return primaries;
  }
}
