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

/**
 * Simulated entry hosts that lease rate shares and connection allowances from one table store and
 * exchange messages over one peer network. The fleet stands in for membership: it gives each host
 * the set of live hosts and their demand.
 */
public final class LeaseFleet {
  private final SimulatedTime time = new SimulatedTime();
  private final List<LeaseHost> hosts = new ArrayList<>();
  private final Set<EntryHostId> liveHosts = new TreeSet<>();
  private final Map<EntryHostId, Map<WorkspaceId, Double>> demand = new TreeMap<>();
  private final LeaseSettings settings;
  private final Configuration configuration;
  private final RandomSource random;
  private final FakeTableStore store;
  private final FakePeerNetwork network;
  private Set<EntryHostId> visibleLiveHosts = Set.of();
  private Map<EntryHostId, Map<WorkspaceId, Double>> visibleDemand = Map.of();
  private int hostsCreated;

  /** Creates a fleet with the given number of hosts. */
  public LeaseFleet(int size, LeaseSettings settings, Configuration configuration, long seed) {
    this.settings = settings;
    this.configuration = configuration;
    this.random = RandomSource.seeded(seed);
    this.store = new FakeTableStore(time, random);
    this.network = new FakePeerNetwork(time, random);
    for (int i = 0; i < size; i++) {
      liveHosts.add(EntryHostId.of("host-" + i));
    }
    for (int i = 0; i < size; i++) {
      join();
    }
    publishDemand();
  }

  /** Adds a host, which all hosts consider live at once. */
  public LeaseHost join() {
    EntryHostId id = EntryHostId.of("host-" + hostsCreated++);
    liveHosts.add(id);
    visibleLiveHosts = Set.copyOf(liveHosts);
    LeaseHost host =
        LeaseHost.start(
            id,
            settings,
            time,
            store,
            network,
            () -> visibleLiveHosts,
            () -> visibleDemand,
            random);
    host.configure(configuration);
    hosts.add(host);
    return host;
  }

  /** Kills a host; the others consider it live for another 5 s. */
  public void kill(LeaseHost host) {
    host.die();
    hosts.remove(host);
    time.after(Duration.ofSeconds(5), () -> removeFromLiveHosts(host));
  }

  /**
   * Pauses a host; the others consider it dead from 5 s after the start of the pause until 6 s
   * after its end.
   */
  public void pause(LeaseHost host, Duration span) {
    host.pause(span);
    time.after(Duration.ofSeconds(5), () -> removeFromLiveHosts(host));
    time.after(span.plusSeconds(6), () -> addToLiveHostsUnlessDead(host));
  }

  /** Shuts a host down gracefully and kills it after 20 s. */
  public void stop(LeaseHost host) {
    host.stop();
    time.after(Duration.ofSeconds(20), () -> kill(host));
  }

  /** Returns the hosts that have not died. */
  public List<LeaseHost> hosts() {
    return hosts;
  }

  /** Publishes the demand of every host to all hosts once a second. */
  private void publishDemand() {
    hosts.forEach(host -> demand.put(host.id(), host.snapshot().get(Entries.DEMAND)));
    visibleDemand = Map.copyOf(demand);
    time.after(Duration.ofSeconds(1), this::publishDemand);
  }

  private void addToLiveHostsUnlessDead(LeaseHost host) {
    if (hosts.contains(host)) {
      liveHosts.add(host.id());
      visibleLiveHosts = Set.copyOf(liveHosts);
    }
  }

  private void removeFromLiveHosts(LeaseHost host) {
    liveHosts.remove(host.id());
    visibleLiveHosts = Set.copyOf(liveHosts);
  }

  /** Returns the simulated time; advancing it runs the fleet. */
  public SimulatedTime time() {
    return time;
  }

  /** Returns the seeded source of random numbers of the whole fleet. */
  public RandomSource random() {
    return random;
  }

  /** Returns the table store that the hosts share. */
  public FakeTableStore store() {
    return store;
  }

  /** Returns the network between the hosts. */
  public FakePeerNetwork network() {
    return network;
  }
}
