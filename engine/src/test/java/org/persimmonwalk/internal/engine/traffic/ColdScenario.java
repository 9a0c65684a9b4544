package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.GroupSettings;
import org.persimmonwalk.engine.RateLimit;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.engine.control.ColdBounds;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.RelayRole;
import org.persimmonwalk.engine.control.ServerStatusRead.Status;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.engine.testing.ServerEntries;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.model.MonotonicTime;

/** Hosts whose settings limit the requests to cold servers, and what each server gets. */
final class ColdScenario {
  static final BackendServerId PRIMARY = BackendServerId.of("s1");
  static final BackendServerId REPLICA = BackendServerId.of("s2");

  static final BackendServerId OTHER_REPLICA = BackendServerId.of("s3");

  /** 9 requests a second x 1.5 + 5 = 18.5 for all zones. */
  static final int BOUND = 18;

  private static final double COLD_PER_SECOND = 9;
  private static final Duration COLD_START = Duration.ofSeconds(20);

  /** Shorter than the interval of the server lists. */
  private static final Duration RESTART_TIME = Duration.ofMillis(800);

  /** A relay is there after 1 s, and may send to cold servers 4.3 s later. */
  private static final Duration UNTIL_RELAYS_SEND = Duration.ofSeconds(7);

  final EngineFixture fixture;
  private final Map<BackendServerId, List<MonotonicTime>> requests = new HashMap<>();

  private ColdScenario(int hosts, int zones, UnaryOperator<EngineSettings> settings) {
    fixture =
        new EngineFixture(
            hosts, zones, EngineSettingsFixture.USUAL_BOUNDS, StoreEra.of(1), settings);
    fixture.servers.behave(
        sent -> {
          record(sent.server());
          return fixture.servers.success(sent);
        });
    fixture.statusRequested = this::record;
    for (BackendServerId server : fixture.entries.keySet()) {
      boolean primary = server.equals(PRIMARY);
      fixture.statuses.put(server, new Status(primary, 1, TermPosition.of(1, 100)));
    }
    fixture.publish(coldConfiguration());
    fixture.run(UNTIL_RELAYS_SEND);
  }

  /** Returns hosts in zones whose settings limit the requests to cold servers. */
  static ColdScenario limited(int hosts, int zones) {
    return new ColdScenario(
        hosts, zones, settings -> settings.withColdBounds(new ColdBounds(1.5, 5)));
  }

  /** Returns hosts whose settings have no bounds. */
  static ColdScenario unlimited(int hosts, int zones) {
    return new ColdScenario(hosts, zones, settings -> settings);
  }

  private static RoutingConfiguration coldConfiguration() {
    RoutingConfiguration usual =
        EngineFixture.configuration(
            2, 100_000, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE));
    return new RoutingConfiguration(
        usual.version(),
        usual.routes(),
        Map.of(EngineFixture.GROUP, new GroupSettings(540, 0, COLD_PER_SECOND, COLD_START)),
        usual.keys(),
        Map.of(EngineFixture.WORKSPACE, new RateLimit(100_000, 100_000)),
        usual.transactionIdleTimeout());
  }

  private void record(BackendServerId server) {
    requests.computeIfAbsent(server, unused -> new ArrayList<>()).add(fixture.clock.now());
  }

  /** Returns how many requests the server has got so far. */
  int requests(BackendServerId server) {
    return requests.getOrDefault(server, List.of()).size();
  }

  /** Returns the most requests that the server got in any second since the given time. */
  int busiestSecond(BackendServerId server, MonotonicTime since) {
    List<MonotonicTime> times =
        requests.getOrDefault(server, List.of()).stream()
            .filter(at -> !at.isBefore(since))
            .toList();
    int busiest = 0;
    int first = 0;
    for (int last = 0; last < times.size(); last++) {
      while (times.get(last).since(times.get(first)).compareTo(Duration.ofSeconds(1)) >= 0) {
        first++;
      }
      busiest = Math.max(busiest, last - first + 1);
    }
    return busiest;
  }

  /** Restarts the process of a server; the list shows it as cold as soon as it accepts. */
  void restartCold(BackendServerId server) {
    fixture.servers.crash(server);
    fixture.scheduler.schedule(
        RESTART_TIME,
        () -> {
          fixture.servers.start(server);
          fixture.entries.computeIfPresent(
              server, (id, entry) -> ServerEntries.restarted(entry, COLD_START));
        });
  }

  /** Restarts the process of a server; the list shows it only a heartbeat later. */
  void restartUnseen(BackendServerId server) {
    fixture.servers.crash(server);
    fixture.servers.start(server);
    fixture.scheduler.schedule(
        EngineSettingsFixture.USUAL_BOUNDS.heartbeat(),
        () ->
            fixture.entries.computeIfPresent(
                server, (id, entry) -> ServerEntries.restarted(entry, COLD_START)));
  }

  /** Ends all connections to a server, which does not restart. */
  void loseConnections(BackendServerId server) {
    fixture.servers.crash(server);
    fixture.servers.start(server);
  }

  /** Ends the process of a server for good; its entry expires three heartbeats later. */
  void crash(BackendServerId server) {
    fixture.servers.crash(server);
    fixture.statuses.remove(server);
    fixture.scheduler.schedule(
        EngineSettingsFixture.USUAL_BOUNDS.heartbeat().multipliedBy(3),
        () -> fixture.entries.remove(server));
  }

  /** Makes a server report how much longer it is cold, without a restart. */
  void reportColdLeft(BackendServerId server, Duration left) {
    fixture.entries.computeIfPresent(server, (id, entry) -> entry.withColdLeft(left));
  }

  /** Makes the servers report to be cold, each as a new process. */
  void restartAllCold() {
    List.copyOf(fixture.entries.keySet()).forEach(this::restartCold);
  }

  ServerEntry entry(BackendServerId server) {
    return fixture.entries.get(server);
  }

  /** Returns the relays that the hosts know. */
  List<Engine> relays() {
    return fixture.hosts.stream().filter(this::isRelay).toList();
  }

  boolean isRelay(Engine host) {
    return fixture.entry(host, EngineEntries.RELAY_ROLE).kind() == RelayRole.Kind.RELAY;
  }

  Engine anyClient() {
    return fixture.hosts.stream().filter(host -> !isRelay(host)).findFirst().orElseThrow();
  }

  boolean isColdAt(Engine host, BackendServerId server) {
    return fixture.entry(host, EngineEntries.COLD_SERVERS).containsKey(server);
  }

  /** Returns the primary that a host uses. */
  Optional<BackendServerId> primaryAt(Engine host) {
    return fixture
        .entry(host, EngineEntries.PRIMARIES)
        .get(EngineFixture.GROUP)
        .at(fixture.clock.now())
        .map(ServerEntry::id);
  }

  /** Opens a session on every host. */
  List<Load> loadOnAllHosts(RouteKind kind, Statement statement) {
    List<Load> loads = new ArrayList<>();
    fixture.hosts.forEach(host -> loads.add(new Load(host, kind, statement)));
    return loads;
  }

  /** Opens a session on a host. */
  Load load(Engine host, RouteKind kind, Statement statement) {
    return new Load(host, kind, statement);
  }

  /** Lets all loads send a statement every 50 ms for the given time. */
  void run(List<Load> loads, Duration duration) {
    for (long millis = 0; millis < duration.toMillis(); millis += 50) {
      loads.forEach(Load::send);
      fixture.run(Duration.ofMillis(50));
    }
  }

  /** A caller that sends a statement as soon as the one before is answered. */
  final class Load {
    final FakeCaller caller = new FakeCaller();
    private final Session session;
    private final Statement statement;
    private int sent;

    private Load(Engine host, RouteKind kind, Statement statement) {
      this.statement = statement;
      this.session = fixture.open(host, kind, caller);
    }

    /** Sends another statement after the one that the caller sent last. */
    void then(Statement next) {
      sent++;
      session.receive(RequestId.of("r" + sent), next);
    }

    void send() {
      if (sent == caller.answered()) {
        sent++;
        session.receive(RequestId.of("r" + sent), statement);
      }
    }
  }
}
