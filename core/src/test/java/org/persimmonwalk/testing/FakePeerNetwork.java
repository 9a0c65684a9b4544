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

/** Carries messages between hosts; it can lose, repeat and hold them up, and split in two. */
public final class FakePeerNetwork {
  private final SimulatedTime time;
  private final RandomSource random;
  private final Map<EntryHostId, Consumer<Observation>> hosts = new HashMap<>();
  private final Map<EntryHostId, Integer> sides = new HashMap<>();
  private int percentDisturbed;
  private boolean split;
  private long messages;

  /** Creates a network without hosts. */
  public FakePeerNetwork(SimulatedTime time, RandomSource random) {
    this.time = time;
    this.random = random;
  }

  /** Adds a host, on one of two sides in turn. */
  public void add(EntryHostId host, Consumer<Observation> receiver) {
    sides.put(host, hosts.size() % 2);
    hosts.put(host, receiver);
  }

  /** Removes a host that died. */
  public void remove(EntryHostId host) {
    hosts.put(host, message -> {});
  }

  /** Loses, repeats and delays by up to two minutes this percentage of messages each. */
  public void setPercentDisturbed(int percent) {
    percentDisturbed = percent;
  }

  /** Cuts the two sides off from each other, or joins them. */
  public void setSplit(boolean newSplit) {
    split = newSplit;
  }

  /** Returns how many messages were sent. */
  public long messages() {
    return messages;
  }

  /** Sends a message. */
  public void send(EntryHostId from, SendPeerMessage command) {
    messages++;
    boolean cut = split && !sides.get(from).equals(sides.get(command.to()));
    if (cut || random.nextInt(100) < percentDisturbed) {
      return;
    }
    boolean late = random.nextInt(100) < percentDisturbed;
    deliver(from, command, late ? random.nextInt(120_000) : 1 + random.nextInt(2));
    if (random.nextInt(100) < percentDisturbed) {
      deliver(from, command, random.nextInt(120_000));
    }
  }

  private void deliver(EntryHostId from, SendPeerMessage command, int milliseconds) {
    time.after(
        Duration.ofMillis(milliseconds),
        () -> hosts.get(command.to()).accept(new PeerMessageReceived(from, command.message())));
  }
}
