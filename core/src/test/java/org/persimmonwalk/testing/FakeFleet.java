package org.persimmonwalk.testing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.internal.control.lease.LeaseSettings;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.port.RandomSource;

/** Several fake hosts with one store and one network. */
public final class FakeFleet {
  private final SimulatedTime time = new SimulatedTime();
  private final List<FakeHost> hosts = new ArrayList<>();
  private final Set<EntryHostId> live = new TreeSet<>();
  private final LeaseSettings settings;
  private final Configuration configuration;
  private final RandomSource random;
  private final FakeTableStore store;
  private final FakePeerNetwork network;
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
  }

  /** Adds a host; the others learn of it at once. */
  public FakeHost join() {
    EntryHostId id = EntryHostId.of("host-" + hostsMade++);
    live.add(id);
    FakeHost host =
        FakeHost.start(id, settings, time, store, network, () -> Set.copyOf(live), random);
    host.configure(configuration);
    hosts.add(host);
    return host;
  }

  /** Ends a host; the others learn of it later. */
  public void kill(FakeHost host) {
    host.die();
    hosts.remove(host);
    time.after(Duration.ofSeconds(5), () -> live.remove(host.id()));
  }

  /** Pauses a host; the others take it for dead until it goes on. */
  public void pause(FakeHost host, Duration span) {
    host.pause(span);
    time.after(Duration.ofSeconds(5), () -> live.remove(host.id()));
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

  private void addIfLive(FakeHost host) {
    if (hosts.contains(host)) {
      live.add(host.id());
    }
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
