package org.persimmonwalk.testing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.command.SendPeerMessage;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.observation.PeerMessageReceived;
import org.persimmonwalk.port.RandomSource;

/**
 * Delivers messages between hosts after 1 to 2 ms. It can also drop, duplicate and delay messages
 * and split the hosts into two partitions.
 */
public final class FakePeerNetwork {
  private final SimulatedTime time;
  private final RandomSource random;
  private final Map<EntryHostId, Consumer<Observation>> hosts = new HashMap<>();
  private final Map<EntryHostId, Integer> partitions = new HashMap<>();
  private int faultPercent;
  private boolean partitioned;
  private long messages;

  /** Creates a network without hosts. */
  public FakePeerNetwork(SimulatedTime time, RandomSource random) {
    this.time = time;
    this.random = random;
  }

  /** Adds a host; hosts are assigned to the two partitions in turn. */
  public void add(EntryHostId host, Consumer<Observation> receiver) {
    partitions.put(host, hosts.size() % 2);
    hosts.put(host, receiver);
  }

  /** Drops all further messages to a host that died. */
  public void remove(EntryHostId host) {
    hosts.put(host, message -> {});
  }

  /**
   * Drops the given percentage of messages. Of the others, the same percentage is delayed by up to
   * two minutes, and independently the same percentage is duplicated with such a delay.
   */
  public void setFaultPercent(int percent) {
    faultPercent = percent;
  }

  /** Sets whether messages between the two partitions are dropped. */
  public void setPartitioned(boolean newPartitioned) {
    partitioned = newPartitioned;
  }

  /** Returns how many messages were sent, including dropped ones. */
  public long messages() {
    return messages;
  }

  /** Sends a message, subject to the faults that are set. */
  public void send(EntryHostId from, SendPeerMessage command) {
    messages++;
    boolean cut = partitioned && !partitions.get(from).equals(partitions.get(command.to()));
    if (cut || random.nextInt(100) < faultPercent) {
      return;
    }
    boolean late = random.nextInt(100) < faultPercent;
    deliver(from, command, late ? random.nextInt(120_000) : 1 + random.nextInt(2));
    if (random.nextInt(100) < faultPercent) {
      deliver(from, command, random.nextInt(120_000));
    }
  }

  private void deliver(EntryHostId from, SendPeerMessage command, int milliseconds) {
    time.after(
        Duration.ofMillis(milliseconds),
        () -> hosts.get(command.to()).accept(new PeerMessageReceived(from, command.message())));
  }
}
