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

/**
 * An entry host of a {@link LeaseFleet}: the control loop with the share and allowance controllers,
 * the admission policy and a count of open connections. It does no I/O, and its clock has a random
 * offset from the clocks of the other hosts.
 */
public final class LeaseHost {
  private static final Duration ROUND_INTERVAL = Duration.ofMillis(100);
  private static final Duration WAKE_UP_DELAY = Duration.ofNanos(100_000);

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
  private boolean roundScheduled;

  private LeaseHost(
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
    this.loop = ControlLoop.of(controllers, this::execute, this::now, random);
    this.admission = LeasedAdmission.of(this::post);
    loop.addListener(admission);
    network.add(id, this::post);
    time.after(Duration.ofMillis(random.nextInt(100)), this::tick);
  }

  /**
   * Starts a host.
   *
   * @param live the hosts that this host considers live, read in each round
   * @param demand the demand of each host, read in each round
   */
  public static LeaseHost start(
      EntryHostId id,
      LeaseSettings settings,
      SimulatedTime time,
      FakeTableStore store,
      FakePeerNetwork network,
      Supplier<Set<EntryHostId>> live,
      Supplier<Map<EntryHostId, Map<WorkspaceId, Double>>> demand,
      RandomSource random) {
    return new LeaseHost(id, settings, time, store, network, live, demand, random);
  }

  /** Returns the identifier of the host. */
  public EntryHostId id() {
    return id;
  }

  /** Posts a configuration to the control loop. */
  public void configure(Configuration configuration) {
    post(new ConfigurationLoaded(configuration, now()));
  }

  /** Returns whether the host runs and admits one more statement of the workspace. */
  public boolean admit(WorkspaceId workspace) {
    return running && admission.admit(loop.snapshot(), workspace, now());
  }

  /** Returns the newest snapshot. */
  public Snapshot snapshot() {
    return loop.snapshot();
  }

  /** Returns the time on this host's clock. */
  public MonotonicTime now() {
    return MonotonicTime.of(time.now() + clockOffset);
  }

  /** Pauses all threads of the host for the given time. */
  public void pause(Duration span) {
    running = false;
    time.after(span, () -> running = !dead);
  }

  /** Kills the host; its connections close at once. */
  public void die() {
    running = false;
    dead = true;
    openConnections.clear();
    network.remove(id);
  }

  /** Starts a graceful shutdown: from the next round on, the host is in phase STOPPED. */
  public void stop() {
    stopping = true;
  }

  /** Sets how many connections to the server this host's traffic needs. */
  public void wantConnections(BackendServerId server, int wanted) {
    wantedConnections.put(server, wanted);
  }

  /** Returns how many connections to the server are open. */
  public int connections(BackendServerId server) {
    return openConnections.getOrDefault(server, 0);
  }

  private void tick() {
    if (!dead) {
      runRound();
      wantedConnections.keySet().forEach(this::updateConnections);
      time.after(ROUND_INTERVAL, this::tick);
    }
  }

  /** Opens all wanted and allowed connections at once, but closes at most one per round. */
  private void updateConnections(BackendServerId server) {
    if (running) {
      int allowed = snapshot().get(Entries.CONNECTION_ALLOWANCES).getOrDefault(server, 0);
      int wanted = wantedConnections.get(server);
      int open = Math.max(Math.min(wanted, allowed), connections(server) - 1);
      openConnections.put(server, open);
      post(new ConnectionsCounted(server, open, wanted, snapshot().roundStartedAt()));
    }
  }

  private void runRound() {
    roundScheduled = false;
    if (running) {
      loop.runRound();
    }
  }

  private void post(Observation observation) {
    loop.post(observation);
    if (!roundScheduled) {
      roundScheduled = true;
      time.after(WAKE_UP_DELAY, this::runRound);
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
      store.read(read, now(), this::post);
    } else if (command instanceof CompareAndSetTableRow write) {
      store.write(write, now(), this::post);
    } else if (command instanceof SendPeerMessage message) {
      network.send(id, message);
    }
  }
}
