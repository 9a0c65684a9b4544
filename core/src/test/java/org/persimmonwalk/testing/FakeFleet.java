package org.persimmonwalk.testing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.internal.control.lease.LeaseSettings;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.port.RandomSource;

/** Several fake hosts with one store and one network. */
public final class FakeFleet {
  private final SimulatedTime time = new SimulatedTime();
  private final List<FakeHost> hosts = new ArrayList<>();
  private final Set<EntryHostId> live = new TreeSet<>();
  private final Map<EntryHostId, Map<WorkspaceId, Double>> demand = new TreeMap<>();
  private final LeaseSettings settings;
  private final Configuration configuration;
  private final RandomSource random;
  private final FakeTableStore store;
  private final FakePeerNetwork network;
  private Set<EntryHostId> liveNow = Set.of();
  private Map<EntryHostId, Map<WorkspaceId, Double>> demandNow = Map.of();
  private int hostsMade;

  /** Creates a fleet with the given number of hosts. */
  public FakeFleet(int size, LeaseSettings settings, Configuration configuration, long seed) {
    this.settings = settings;
    this.configuration = configuration;
    this.random = RandomSource.seeded(seed);
    this.store = new FakeTableStore(time, random);
    this.network = new FakePeerNetwork(time, random);
    for (int i = 0; i < size; i++) {
      live.add(EntryHostId.of("host-" + i));
    }
    for (int i = 0; i < size; i++) {
      join();
    }
    spreadDemand();
  }

  /** Adds a host; the others learn of it at once. */
  public FakeHost join() {
    EntryHostId id = EntryHostId.of("host-" + hostsMade++);
    live.add(id);
    liveNow = Set.copyOf(live);
    FakeHost host =
        FakeHost.start(id, settings, time, store, network, () -> liveNow, () -> demandNow, random);
    host.configure(configuration);
    hosts.add(host);
    return host;
  }

  /** Ends a host; the others learn of it later. */
  public void kill(FakeHost host) {
    host.die();
    hosts.remove(host);
    time.after(Duration.ofSeconds(5), () -> leave(host));
  }

  /** Pauses a host; the others take it for dead until it goes on. */
  public void pause(FakeHost host, Duration span) {
    host.pause(span);
    time.after(Duration.ofSeconds(5), () -> leave(host));
    time.after(span.plusSeconds(6), () -> addIfLive(host));
  }

  /** Stops a host as planned and ends it after 20 s. */
  public void stop(FakeHost host) {
    host.stop();
    time.after(Duration.ofSeconds(20), () -> kill(host));
  }

  /** Returns the hosts that have not died. */
  public List<FakeHost> hosts() {
    return hosts;
  }

  /** Hosts hear of each other's demand once a second. */
  private void spreadDemand() {
    hosts.forEach(host -> demand.put(host.id(), host.snapshot().get(Entries.DEMAND)));
    demandNow = Map.copyOf(demand);
    time.after(Duration.ofSeconds(1), this::spreadDemand);
  }

  private void addIfLive(FakeHost host) {
    if (hosts.contains(host)) {
      live.add(host.id());
      liveNow = Set.copyOf(live);
    }
  }

  private void leave(FakeHost host) {
    live.remove(host.id());
    liveNow = Set.copyOf(live);
  }

  /** Returns the time of the fleet. */
  public SimulatedTime time() {
    return time;
  }

  /** Returns the randomness of the fleet. */
  public RandomSource random() {
    return random;
  }

  /** Returns the store of the fleet. */
  public FakeTableStore store() {
    return store;
  }

  /** Returns the network of the fleet. */
  public FakePeerNetwork network() {
    return network;
  }
}
