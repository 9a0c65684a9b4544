package org.persimmonwalk.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Supplier;
import org.persimmonwalk.admission.LeasedAdmission;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.command.CompareAndSetTableRow;
import org.persimmonwalk.command.ListHosts;
import org.persimmonwalk.command.LoadConfiguration;
import org.persimmonwalk.command.ReadTableRow;
import org.persimmonwalk.command.SampleServer;
import org.persimmonwalk.command.SendPeerMessage;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.internal.assembly.ControlPlane;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.model.TableRow;
import org.persimmonwalk.model.VersionedRow;
import org.persimmonwalk.model.WriteOutcome;
import org.persimmonwalk.observation.ConfigurationLoaded;
import org.persimmonwalk.observation.HostsListed;
import org.persimmonwalk.observation.ServerSampleFailed;
import org.persimmonwalk.observation.ServerSampled;
import org.persimmonwalk.observation.TableRowRead;
import org.persimmonwalk.observation.TableRowWritten;
import org.persimmonwalk.peer.PeerCodec;
import org.persimmonwalk.peer.PeerEnvelope;
import org.persimmonwalk.port.CommandExecutor;
import org.persimmonwalk.port.RandomSource;

/**
 * The control loop of one entry host, with the real controllers and commands answered in memory.
 */
final class SimulatedHost implements CommandExecutor {
  /** The control thread of a real host checks its timers at least this often. */
  private static final Duration LONGEST_ROUND_GAP = Duration.ofMillis(20);

  private static final Duration STORE_DELAY = Duration.ofMillis(5);
  private static final Duration REFUSAL_DELAY = Duration.ofMillis(1);
  private static final int LENGTH_PREFIX_BYTES = 4;
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private final HostEntry entry;
  private final SimulatedFleet fleet;
  private final RandomSource random;
  private final ControlLoop loop;
  private final LeasedAdmission admission;
  private final PriorityQueue<Arrival> arrivals =
      new PriorityQueue<>(Comparator.comparing(Arrival::at));
  private MonotonicTime lastRound;
  private boolean posted;
  private long processorNanoseconds;
  private long rounds;
  private long messages;
  private long messageBytes;
  private long storeBytes;
  private long probes;
  private long refusedProbes;

  private record Arrival(MonotonicTime at, Supplier<Observation> observation) {}

  private SimulatedHost(HostEntry entry, SimulatedFleet fleet, RandomSource random) {
    this.entry = entry;
    this.fleet = fleet;
    this.random = random;
    this.loop = ControlLoop.of(ControlPlane.controllers(entry), this, fleet.clock(), random);
    this.lastRound = fleet.clock().now();
    this.admission = LeasedAdmission.of(this::post);
    loop.addListener(admission);
  }

  static SimulatedHost of(HostEntry entry, SimulatedFleet fleet, RandomSource random) {
    return new SimulatedHost(entry, fleet, random);
  }

  ControlLoop loop() {
    return loop;
  }

  EntryHostId id() {
    return entry.id();
  }

  HostCounts counts() {
    return new HostCounts(
        processorNanoseconds, rounds, messages, messageBytes, storeBytes, probes, refusedProbes);
  }

  /** Runs a round if an observation has arrived or timers are due. */
  void step(MonotonicTime now) {
    boolean arrived = !arrivals.isEmpty() && !arrivals.peek().at().isAfter(now);
    boolean timersDue = now.since(lastRound).compareTo(LONGEST_ROUND_GAP) >= 0;
    if (!arrived && !timersDue && !posted) {
      return;
    }
    lastRound = now;
    posted = false;
    rounds++;
    long start = THREADS.getCurrentThreadCpuTime();
    while (!arrivals.isEmpty() && !arrivals.peek().at().isAfter(now)) {
      loop.post(arrivals.remove().observation().get());
    }
    loop.runRound();
    processorNanoseconds += THREADS.getCurrentThreadCpuTime() - start;
  }

  /** Requests admission of one statement of each workspace. */
  void offerStatements(MonotonicTime now) {
    Snapshot snapshot = loop.snapshot();
    snapshot
        .get(Entries.CONFIGURATION)
        .workspaces()
        .keySet()
        .forEach(workspace -> admission.admit(snapshot, workspace, now));
  }

  /** Queues an observation; the host runs a round in its next step. */
  void post(Observation observation) {
    posted = true;
    loop.post(observation);
  }

  /** Delivers an encoded message of a peer after the given delay. */
  void receive(byte[] message, Duration delay) {
    postAfter(delay, () -> SimulatedFleet.decode(message));
  }

  @Override
  public void execute(Command command) {
    if (command instanceof SampleServer sample) {
      probe(sample);
    } else if (command instanceof SendPeerMessage send) {
      send(send);
    } else if (command instanceof ReadTableRow read) {
      MonotonicTime startedAt = fleet.clock().now();
      postAfter(STORE_DELAY, () -> read(read.row(), startedAt));
    } else if (command instanceof CompareAndSetTableRow write) {
      MonotonicTime startedAt = fleet.clock().now();
      postAfter(STORE_DELAY, () -> write(write, startedAt));
    } else if (command instanceof ListHosts) {
      MonotonicTime startedAt = fleet.clock().now();
      fleet.store().countHostList();
      postAfter(STORE_DELAY, () -> new HostsListed(fleet.hostEntries(), startedAt));
    } else if (command instanceof LoadConfiguration) {
      MonotonicTime startedAt = fleet.clock().now();
      storeBytes += fleet.store().configurationBytes();
      postAfter(
          STORE_DELAY, () -> new ConfigurationLoaded(fleet.store().loadConfiguration(), startedAt));
    } else {
      throw new IllegalStateException("no answer is simulated for " + command.getClass());
    }
  }

  private void probe(SampleServer command) {
    if (!fleet.answersProbes()) {
      return;
    }
    BackendServerId server = command.server().id();
    MonotonicTime startedAt = fleet.clock().now();
    int allowance = loop.snapshot().get(Entries.CONNECTION_ALLOWANCES).getOrDefault(server, 0);
    if (allowance == 0) {
      refusedProbes++;
      postAfter(REFUSAL_DELAY, () -> new ServerSampleFailed(server, startedAt));
      return;
    }
    probes++;
    postAfter(
        fleet.networkDelay(random),
        () -> new ServerSampled(server, fleet.sample(server, startedAt), startedAt));
  }

  private void send(SendPeerMessage command) {
    byte[] bytes = PeerCodec.encode(PeerEnvelope.of(entry.id(), command.to(), command.message()));
    messages++;
    messageBytes += bytes.length + LENGTH_PREFIX_BYTES;
    fleet.deliver(command.to(), bytes, random);
  }

  private Observation read(TableRow row, MonotonicTime startedAt) {
    VersionedRow result = fleet.store().read(row);
    storeBytes += fleet.store().rowBytes(row);
    return new TableRowRead(row, result.version(), result.value(), startedAt);
  }

  private Observation write(CompareAndSetTableRow write, MonotonicTime startedAt) {
    WriteOutcome outcome =
        fleet.store().compareAndSet(write.row(), write.expected(), write.value());
    storeBytes += fleet.store().rowBytes(write.row());
    long version = write.expected().number() + (outcome == WriteOutcome.WRITTEN ? 1 : 0);
    return new TableRowWritten(write.row(), outcome, RowVersion.of(version), startedAt);
  }

  private void postAfter(Duration delay, Supplier<Observation> observation) {
    arrivals.add(new Arrival(fleet.clock().now().plus(delay), observation));
  }
}
