package org.persimmonwalk.engine.testing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.function.UnaryOperator;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.blackboard.EntryKey;
import org.persimmonwalk.engine.DatabaseName;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.EngineSources;
import org.persimmonwalk.engine.GroupSettings;
import org.persimmonwalk.engine.RateLimit;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.SuspensionDetector;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.HostStrength;
import org.persimmonwalk.engine.control.OrderPromotion;
import org.persimmonwalk.engine.control.PromotionOrderAnswered;
import org.persimmonwalk.engine.control.ReadServerList;
import org.persimmonwalk.engine.control.ReadServerStatus;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.ServerListRead;
import org.persimmonwalk.engine.control.ServerStatusRead;
import org.persimmonwalk.engine.control.ServerStatusRead.Status;
import org.persimmonwalk.engine.control.ServiceBounds;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionResult;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.internal.engine.traffic.Session;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.FakeClock;

/** One or more entry hosts for one database group, on fakes of the store and of the servers. */
public final class EngineFixture {
  public static final DatabaseGroupId GROUP = DatabaseGroupId.of("tanks");
  public static final WorkspaceId WORKSPACE = WorkspaceId.of("oil");
  public static final String KEY = "secret";

  private static final Duration CALL_TIMEOUT = Duration.ofMillis(1300);

  /** Longer than the promotion lease, so that the next holder finds the promotion pending. */
  private static final Duration PROMOTION_DELAY = Duration.ofMillis(4500);

  private static final Duration STEP = Duration.ofMillis(10);

  public final FakeClock clock = new FakeClock();
  public final FakeScheduler scheduler = new FakeScheduler(clock);
  public final FakeServers servers = new FakeServers();
  public final Map<BackendServerId, ServerEntry> entries = new HashMap<>();
  public final Map<BackendServerId, Status> statuses = new HashMap<>();
  public final List<OrderPromotion> promotions = new ArrayList<>();
  public final List<Engine> hosts = new ArrayList<>();
  public final Map<RowKey, StoredRow> rows;
  public final FakeOperator operator;
  public boolean storeIsUp = true;
  public boolean peersAreReachable = true;
  public int storeCalls;

  public final TransactionCounts transactions = new TransactionCounts();

  /** How many of the next store transactions are lost without effect and time out. */
  public int transactionsToLose;

  public final LateEffects lateEffects = new LateEffects();

  /** How many of the next orders of promotions get no answer but take effect later. */
  public int promotionsToDelay;

  /** Called for each status request that is sent to a server. */
  public Consumer<BackendServerId> statusRequested = server -> {};

  public final List<String> events = new ArrayList<>();
  private final Map<Engine, Boolean> cutOff = new HashMap<>();
  private final Map<SocketEndpoint, Engine> hostsByEndpoint = new HashMap<>();
  private final Map<Engine, Boolean> frozen = new HashMap<>();
  private final Map<Engine, Integer> numbers = new HashMap<>();
  public final FakeZoneExchanges exchanges = new FakeZoneExchanges(clock, scheduler);
  public final FakeStoreLink link = new FakeStoreLink(scheduler, CALL_TIMEOUT);
  private final FakeRowStore store;
  private final IntFunction<EngineSettings> settings;
  private long term;
  private long seed;
  private long wallClockOffset = 1_000_000;

  /** Starts the given number of hosts of one zone and lets them read the configuration. */
  public EngineFixture(int hostCount) {
    this(hostCount, 1, EngineSettingsFixture.USUAL_BOUNDS);
  }

  /** Starts hosts in the given number of zones and lets them read the configuration. */
  public EngineFixture(int hostCount, int zoneCount, ServiceBounds bounds) {
    this(hostCount, zoneCount, bounds, StoreEra.UNKNOWN);
  }

  /** Starts hosts as above before a store that tells the given era. */
  public EngineFixture(int hostCount, int zoneCount, ServiceBounds bounds, StoreEra era) {
    this(hostCount, zoneCount, bounds, era, settings -> settings);
  }

  /** Starts hosts as above with changed settings. */
  public EngineFixture(
      int hostCount,
      int zoneCount,
      ServiceBounds bounds,
      StoreEra era,
      UnaryOperator<EngineSettings> changes) {
    this(
        number -> changes.apply(EngineSettingsFixture.of(number, zoneCount, bounds)),
        hostCount,
        era);
  }

  /** Starts hosts as above, each with the strength of its number. */
  public static EngineFixture ofStrengths(
      int hostCount,
      int zoneCount,
      ServiceBounds bounds,
      StoreEra era,
      IntFunction<Optional<HostStrength>> strengths) {
    return new EngineFixture(
        number -> EngineSettingsFixture.of(number, zoneCount, bounds, strengths.apply(number)),
        hostCount,
        era);
  }

  private EngineFixture(IntFunction<EngineSettings> settings, int hostCount, StoreEra era) {
    this.settings = settings;
    this.store = new FakeRowStore(clock, entries, era);
    this.rows = store.rows;
    this.operator = new FakeOperator(store, entries);
    for (int i = 1; i <= 3; i++) {
      ServerEntry entry = server("s" + i, i == 1);
      entries.put(entry.id(), entry);
    }
    publish(configuration(1, 100, Map.of(KeyHash.ofKey(KEY), WORKSPACE)));
    for (int i = 0; i < hostCount; i++) {
      hosts.add(startHost(i));
    }
    run(Duration.ofMillis(100));
  }

  /** Returns the entry of a server of the group. */
  public static ServerEntry server(String id, boolean primary) {
    return ServerEntries.of(id, GROUP, primary);
  }

  /** Returns a configuration with a route of each kind, whose database name is the kind. */
  public static RoutingConfiguration configuration(
      long version, double rate, Map<KeyHash, WorkspaceId> keys) {
    return configuration(version, rate, keys, 0);
  }

  /** Returns a configuration whose group has synchronous replicas. */
  public static RoutingConfiguration configuration(
      long version, double rate, Map<KeyHash, WorkspaceId> keys, int synchronousReplicas) {
    Map<DatabaseName, Route> routes = new HashMap<>();
    for (RouteKind kind : RouteKind.values()) {
      Route route =
          new Route(
              DatabaseName.of(kind.name()),
              GROUP,
              kind,
              Duration.ofMillis(800),
              Duration.ofMillis(200),
              1,
              Duration.ofMillis(1500),
              false);
      routes.put(route.database(), route);
    }
    return new RoutingConfiguration(
        version,
        routes,
        Map.of(GROUP, new GroupSettings(54, synchronousReplicas)),
        keys,
        Map.of(WORKSPACE, new RateLimit(rate, rate)),
        Duration.ofSeconds(3));
  }

  /** Writes a configuration to the store. */
  public void publish(RoutingConfiguration changed) {
    store.publish(changed);
  }

  /** Writes a row to the store, as another writer does. */
  public void write(RowKey key, String text) {
    store.write(key, text);
  }

  /** Returns the version that the store gives out next. */
  public long nextRowVersion() {
    return store.nextVersion();
  }

  /**
   * Takes the store away and lets it come back from a copy; later the operator and the servers
   * write again what it has lost.
   *
   * @param age the age of the copy when the store goes away
   * @param away how long the store is away
   * @param rewriteDelay the time from its return until the lost rows are written again
   */
  public void loseStoreToCopy(Duration age, Duration away, Duration rewriteDelay) {
    storeIsUp = false;
    scheduler.schedule(
        away,
        () -> {
          store.comeBackFromCopy(age.plus(away));
          storeIsUp = true;
          scheduler.schedule(rewriteDelay, store::writeLostRowsAgain);
        });
  }

  private Engine startHost(int number) {
    List<Engine> self = new ArrayList<>();
    EngineSettings own = settings.apply(number);
    Engine engine =
        Engine.create(
            own,
            new EngineSources(
                clock,
                RandomSource.seeded(seed++),
                SuspensionDetector.of(
                    clock,
                    () -> wallClockOffset + clock.now().nanoseconds() / 1_000_000,
                    own.timings().suspensionTolerance())),
            scheduler,
            servers,
            command -> scheduler.schedule(STEP, () -> execute(self.get(0), command)),
            (event, fields) -> events.add(event + Arrays.toString(fields)),
            new IgnoringMeter());
    self.add(engine);
    SkipChecks.enable(engine.loop(), number);
    hostsByEndpoint.put(own.peerEndpoint(), engine);
    numbers.put(engine, number);
    engine.sessions().start();
    return engine;
  }

  /** Disconnects a host from the store, or reconnects it. */
  public void cutOff(Engine host, boolean disconnected) {
    cutOff.put(host, disconnected);
  }

  /** Replaces the process of a host by a new one with the same name and no state. */
  public Engine restart(Engine host) {
    int index = hosts.indexOf(host);
    frozen.put(host, true);
    Engine started = startHost(numbers.get(host));
    hosts.set(index, started);
    return started;
  }

  /**
   * Stops a host's control loop and its answers to peers, as if the process was killed, or lets
   * them continue.
   */
  public void freeze(Engine host, boolean stopped) {
    frozen.put(host, stopped);
  }

  /** Steps the wall clock, as a suspension of the machine does. */
  public void stepWallClock(Duration step) {
    wallClockOffset += step.toMillis();
  }

  private void execute(Engine host, Command command) {
    boolean reachable = storeIsUp && !cutOff.getOrDefault(host, false);
    if (exchanges.execute(host, command, this::reachablePeer)) {
      return;
    }
    storeCalls++;
    if (command instanceof RunTransaction transaction) {
      run(host, transaction, reachable);
    } else if (command instanceof ReadServerList) {
      host.loop()
          .post(
              reachable
                  ? new ServerListRead(Optional.of(store.listedEntries()), store.era())
                  : ServerListRead.unanswered());
    } else if (command instanceof OrderPromotion order) {
      order(host, order);
    } else if (command instanceof ReadServerStatus read) {
      BackendServerId id = read.server().id();
      statusRequested.accept(id);
      host.loop().post(new ServerStatusRead(id, Optional.ofNullable(statuses.get(id))));
    } else {
      throw new IllegalStateException("unexpected command " + command);
    }
  }

  private void run(Engine host, RunTransaction transaction, boolean reachable) {
    transactions.calls++;
    if (transactionsToLose > 0) {
      transactionsToLose--;
      timeOut(host, transaction);
    } else if (lateEffects.delayNext(transaction)) {
      scheduler.schedule(lateEffects.delay, () -> store.run(transaction, STEP));
      timeOut(host, transaction);
    } else {
      TransactionAnswered answer =
          reachable
              ? store.run(transaction, STEP)
              : TransactionAnswered.without(transaction, TransactionResult.UNKNOWN);
      transactions.record(answer);
      link.deliver(host, answer);
    }
  }

  private void timeOut(Engine host, RunTransaction transaction) {
    var unknown = TransactionAnswered.without(transaction, TransactionResult.UNKNOWN);
    scheduler.schedule(CALL_TIMEOUT, () -> host.loop().post(unknown));
  }

  private Optional<Engine> reachablePeer(SocketEndpoint endpoint) {
    return Optional.ofNullable(hostsByEndpoint.get(endpoint))
        .filter(engine -> peersAreReachable && !frozen.getOrDefault(engine, false));
  }

  private void order(Engine host, OrderPromotion order) {
    BackendServerId server = order.server().id();
    promotions.add(order);
    boolean isDelayed = promotionsToDelay > 0;
    if (isDelayed) {
      promotionsToDelay--;
      scheduler.schedule(PROMOTION_DELAY, () -> promote(server));
    } else {
      promote(server);
    }
    scheduler.schedule(
        isDelayed ? CALL_TIMEOUT : Duration.ZERO,
        () -> host.loop().post(new PromotionOrderAnswered(server, !isDelayed)));
  }

  private void promote(BackendServerId server) {
    term = statuses.values().stream().mapToLong(Status::term).reduce(term, Math::max);
    Status status = statuses.get(server);
    if (status != null && status.primary() && status.term() == term) {
      return;
    }
    term++;
    statuses.computeIfPresent(server, (id, old) -> new Status(true, term, old.received()));
    // The entries change at once, so that only this server claims to be the primary.
    entries.replaceAll((id, entry) -> ServerEntries.withRole(entry, id.equals(server)));
  }

  /** Advances time in steps and runs the control rounds of all hosts that are not frozen. */
  public void run(Duration duration) {
    long steps = duration.toMillis() / STEP.toMillis();
    for (long i = 0; i < steps; i++) {
      hosts.stream()
          .filter(host -> !frozen.getOrDefault(host, false))
          .forEach(host -> host.loop().runRound());
      if (storeIsUp) {
        store.keepCopy();
      }
      scheduler.advance(STEP);
    }
  }

  /** Opens a session of the workspace on a host. */
  public Session open(Engine host, RouteKind kind, FakeCaller caller) {
    return host.sessions()
        .open(caller, DatabaseName.of(kind.name()), Optional.of(KeyHash.ofKey(KEY)))
        .orElseThrow();
  }

  /** Sends a statement and advances time by 120 ms. */
  public void send(Session session, String id, Statement statement) {
    session.receive(RequestId.of(id), statement);
    run(Duration.ofMillis(120));
  }

  /** Returns an entry of a host's blackboard, for assertions. */
  public <T> T entry(Engine host, EntryKey<T> key) {
    return host.loop().snapshot().get(key);
  }
}
