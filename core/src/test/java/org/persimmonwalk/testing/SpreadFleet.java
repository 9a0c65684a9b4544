package org.persimmonwalk.testing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.PeerMessage;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.observation.PeerMessageReceived;

/** Entry hosts that run their controllers on one fake clock and exchange typed messages. */
public final class SpreadFleet {
  private final FakeClock clock = new FakeClock();
  private final FakeConfigurationStore store = new FakeConfigurationStore();
  private final Map<EntryHostId, SpreadHost> hosts = new LinkedHashMap<>();
  private final Duration step;
  private final MessageSize size;
  private List<HostEntry> hostList = List.of();
  private List<Runnable> deliveries = new ArrayList<>();
  private long messages;
  private long bytes;

  private SpreadFleet(Duration step, MessageSize size) {
    this.step = step;
    this.size = size;
  }

  /**
   * Returns an empty fleet.
   *
   * @param step the time between two rounds; messages and answers take one step
   * @param size the bytes that a message has on the network
   */
  public static SpreadFleet of(Duration step, MessageSize size) {
    return new SpreadFleet(step, size);
  }

  /** Adds a host that runs the given controllers; the host list names it from now on. */
  public SpreadHost add(HostEntry entry, List<Controller> controllers, long seed) {
    SpreadHost host = SpreadHost.of(this, entry, controllers, seed);
    hosts.put(entry.id(), host);
    hostList = hosts().stream().map(SpreadHost::entry).toList();
    return host;
  }

  /** Replaces what the platform's host list says. */
  public void setHostList(List<HostEntry> newHostList) {
    hostList = List.copyOf(newHostList);
  }

  /** Returns the entry of a host with a made-up endpoint. */
  public static HostEntry entry(String id, String zone) {
    return HostEntry.of(
        EntryHostId.of(id), AvailabilityZone.of(zone), SocketEndpoint.of("127.0.0.1", 7000));
  }

  /** Lets the given time pass in steps. */
  public void run(Duration time) {
    for (long left = time.toNanos(); left > 0; left -= step.toNanos()) {
      step();
    }
  }

  /** Lets one step pass: delivers what was sent in the step before, then runs all rounds. */
  public void step() {
    clock.advance(step);
    List<Runnable> due = deliveries;
    deliveries = new ArrayList<>();
    due.forEach(Runnable::run);
    hosts.values().forEach(SpreadHost::runRound);
  }

  /** Returns the hosts in the order in which they were added. */
  public List<SpreadHost> hosts() {
    return List.copyOf(hosts.values());
  }

  /** Returns the clock of all hosts. */
  public FakeClock clock() {
    return clock;
  }

  /** Returns the platform's store. */
  public FakeConfigurationStore store() {
    return store;
  }

  /** Returns the number of messages sent so far. */
  public long messages() {
    return messages;
  }

  /** Returns the number of bytes sent so far. */
  public long bytes() {
    return bytes;
  }

  List<HostEntry> hostList() {
    return hostList;
  }

  void send(EntryHostId from, EntryHostId to, PeerMessage message) {
    messages++;
    bytes += size.of(from, to, message);
    SpreadHost target = hosts.get(to);
    if (target != null) {
      later(() -> target.post(new PeerMessageReceived(from, message)));
    }
  }

  void later(Runnable action) {
    deliveries.add(action);
  }
}
