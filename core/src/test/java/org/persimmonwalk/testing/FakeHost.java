package org.persimmonwalk.testing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.persimmonwalk.admission.LeasedAdmission;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.command.CompareAndSetTableRow;
import org.persimmonwalk.command.ReadTableRow;
import org.persimmonwalk.command.SendPeerMessage;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.internal.control.allowance.AllowanceController;
import org.persimmonwalk.internal.control.configuration.ConfigurationController;
import org.persimmonwalk.internal.control.lease.LeaseSettings;
import org.persimmonwalk.internal.control.share.ShareController;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.HostPhase;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.observation.ConfigurationLoaded;
import org.persimmonwalk.observation.ConnectionsCounted;
import org.persimmonwalk.port.RandomSource;

/** An entry host's control loop, admission and connection counts, without real I/O. */
public final class FakeHost {
  private static final Duration ROUND_INTERVAL = Duration.ofMillis(100);
  private static final Duration WAKE_UP = Duration.ofNanos(100_000);

  private final EntryHostId id;
  private final SimulatedTime time;
  private final FakeTableStore store;
  private final FakePeerNetwork network;
  private final long clockOffset;
  private final ControlLoop loop;
  private final LeasedAdmission admission;
  private final Map<BackendServerId, Integer> wantedConnections = new HashMap<>();
  private final Map<BackendServerId, Integer> openConnections = new HashMap<>();
  private boolean running = true;
  private boolean dead;
  private boolean stopping;
  private boolean roundDue;

  private FakeHost(
      EntryHostId id,
      LeaseSettings settings,
      SimulatedTime time,
      FakeTableStore store,
      FakePeerNetwork network,
      Supplier<Set<EntryHostId>> live,
      Supplier<Map<EntryHostId, Map<WorkspaceId, Double>>> demand,
      RandomSource random) {
    this.id = id;
    this.time = time;
    this.store = store;
    this.network = network;
    this.clockOffset = random.nextInt(1_000_000_000);
    List<Controller> controllers =
        List.of(
            ConfigurationController.create(),
            (blackboard, context) -> putMembership(blackboard, live, demand),
            ShareController.of(id, settings),
            AllowanceController.of(id, settings));
    this.loop = ControlLoop.of(controllers, this::execute, this::clock, random);
    this.admission = LeasedAdmission.of(this::post);
    loop.addListener(admission);
    network.add(id, this::post);
    time.after(Duration.ofMillis(random.nextInt(100)), this::tick);
  }

  /** Starts a host that believes the given hosts to be live. */
  public static FakeHost start(
      EntryHostId id,
      LeaseSettings settings,
      SimulatedTime time,
      FakeTableStore store,
      FakePeerNetwork network,
      Supplier<Set<EntryHostId>> live,
      Supplier<Map<EntryHostId, Map<WorkspaceId, Double>>> demand,
      RandomSource random) {
    return new FakeHost(id, settings, time, store, network, live, demand, random);
  }

  /** Returns the identifier of the host. */
  public EntryHostId id() {
    return id;
  }

  /** Puts a configuration in force. */
  public void configure(Configuration configuration) {
    post(new ConfigurationLoaded(configuration, clock()));
  }

  /** Asks for one statement. */
  public boolean admit(WorkspaceId workspace) {
    return running && admission.admit(loop.snapshot(), workspace, clock());
  }

  /** Returns the newest snapshot. */
  public Snapshot snapshot() {
    return loop.snapshot();
  }

  /** Returns the time on the clock of this host. */
  public MonotonicTime clock() {
    return MonotonicTime.of(time.now() + clockOffset);
  }

  /** Stops all threads of the host for a while. */
  public void pause(Duration span) {
    running = false;
    time.after(span, () -> running = !dead);
  }

  /** Ends the host at once. */
  public void die() {
    running = false;
    dead = true;
    openConnections.clear();
    network.remove(id);
  }

  /** Begins a planned stop. */
  public void stop() {
    stopping = true;
  }

  /** Sets how many connections the traffic of this host wants. */
  public void wantConnections(BackendServerId server, int wanted) {
    wantedConnections.put(server, wanted);
  }

  /** Returns how many connections are open. */
  public int connections(BackendServerId server) {
    return openConnections.getOrDefault(server, 0);
  }

  private void tick() {
    if (!dead) {
      runRound();
      wantedConnections.keySet().forEach(this::useConnections);
      time.after(ROUND_INTERVAL, this::tick);
    }
  }

  /** Opens connections at once but closes no more than one in each round. */
  private void useConnections(BackendServerId server) {
    if (running) {
      int allowed = snapshot().get(Entries.CONNECTION_ALLOWANCES).getOrDefault(server, 0);
      int wanted = wantedConnections.get(server);
      int open = Math.max(Math.min(wanted, allowed), connections(server) - 1);
      openConnections.put(server, open);
      post(new ConnectionsCounted(server, open, wanted, snapshot().publishedAt()));
    }
  }

  private void runRound() {
    roundDue = false;
    if (running) {
      loop.runRound();
    }
  }

  private void post(Observation observation) {
    loop.post(observation);
    if (!roundDue) {
      roundDue = true;
      time.after(WAKE_UP, this::runRound);
    }
  }

  private void putMembership(
      Blackboard blackboard,
      Supplier<Set<EntryHostId>> live,
      Supplier<Map<EntryHostId, Map<WorkspaceId, Double>>> demand) {
    blackboard.put(Entries.LIVE_HOSTS, live.get());
    blackboard.put(Entries.PEER_DEMAND, demand.get());
    blackboard.put(Entries.HOST_PHASE, stopping ? HostPhase.STOPPED : HostPhase.SERVING);
  }

  private void execute(Command command) {
    if (command instanceof ReadTableRow read) {
      store.read(read, clock(), this::post);
    } else if (command instanceof CompareAndSetTableRow write) {
      store.write(write, clock(), this::post);
    } else if (command instanceof SendPeerMessage message) {
      network.send(id, message);
    }
  }
}
