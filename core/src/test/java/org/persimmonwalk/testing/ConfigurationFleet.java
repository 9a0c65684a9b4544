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

/**
 * Simulated entry hosts that propagate configurations: they read the fake store and exchange peer
 * messages without encoding. All hosts share one clock and run their rounds in steps.
 */
public final class ConfigurationFleet {
  private final FakeClock clock = new FakeClock();
  private final FakeConfigurationStore store = new FakeConfigurationStore();
  private final Map<EntryHostId, ConfigurationHost> hosts = new LinkedHashMap<>();
  private final Duration step;
  private final MessageSize messageSize;
  private List<HostEntry> hostList = List.of();
  private List<Runnable> pendingDeliveries = new ArrayList<>();
  private long messages;
  private long bytes;

  private ConfigurationFleet(Duration step, MessageSize messageSize) {
    this.step = step;
    this.messageSize = messageSize;
  }

  /**
   * Returns an empty fleet.
   *
   * @param step the time between two rounds, and the latency of messages and of platform answers
   * @param messageSize computes the bytes that a message takes on the network
   */
  public static ConfigurationFleet of(Duration step, MessageSize messageSize) {
    return new ConfigurationFleet(step, messageSize);
  }

  /** Adds a host that runs the given controllers and sets the host list to all added hosts. */
  public ConfigurationHost add(HostEntry entry, List<Controller> controllers, long seed) {
    ConfigurationHost host = ConfigurationHost.of(this, entry, controllers, seed);
    hosts.put(entry.id(), host);
    hostList = hosts().stream().map(ConfigurationHost::entry).toList();
    return host;
  }

  /** Replaces the platform's host list. */
  public void setHostList(List<HostEntry> newHostList) {
    hostList = List.copyOf(newHostList);
  }

  /** Returns the entry of a host with a made-up endpoint. */
  public static HostEntry entry(String id, String zone) {
    return HostEntry.of(
        EntryHostId.of(id), AvailabilityZone.of(zone), SocketEndpoint.of("127.0.0.1", 7000));
  }

  /** Runs steps until the given time has passed. */
  public void run(Duration time) {
    for (long remaining = time.toNanos(); remaining > 0; remaining -= step.toNanos()) {
      step();
    }
  }

  /**
   * Advances the clock by one step, delivers the messages and answers sent in the previous step and
   * then runs a round of every host.
   */
  public void step() {
    clock.advance(step);
    List<Runnable> due = pendingDeliveries;
    pendingDeliveries = new ArrayList<>();
    due.forEach(Runnable::run);
    hosts.values().forEach(ConfigurationHost::runRound);
  }

  /** Returns the hosts in the order in which they were added. */
  public List<ConfigurationHost> hosts() {
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
    bytes += messageSize.of(from, to, message);
    ConfigurationHost target = hosts.get(to);
    if (target != null) {
      deliverInNextStep(() -> target.post(new PeerMessageReceived(from, message)));
    }
  }

  void deliverInNextStep(Runnable action) {
    pendingDeliveries.add(action);
  }
}
