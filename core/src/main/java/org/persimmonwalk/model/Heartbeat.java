package org.persimmonwalk.model;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;

/**
 * Tells a peer that the sender is alive, which configuration it has, and which other hosts are
 * known to it. Hosts exchange heartbeats periodically and learn of each other through them.
 *
 * <p>A heartbeat that replies to another one repeats the {@code sentAt} of that heartbeat. The
 * receiver thus knows an instant on its own clock before which the reply cannot have been written,
 * however long the reply was in transit.
 *
 * @param sender the identity, zone and endpoint of the sender, and whether it is leaving
 * @param revision the revision that the sender has
 * @param freshnessAge the time since the revision was last known to be the newest, if it ever was
 * @param sentAt when the heartbeat was sent, on the sender's clock; only the sender may interpret
 *     it
 * @param echoedSentAt the {@code sentAt} of the heartbeat that this one replies to, on the
 *     receiver's clock; empty in a heartbeat that is no reply
 * @param relayedHosts other hosts known to the sender, at most {@link #RELAYED_HOST_LIMIT}
 * @param demand statements per second at the sender by workspace, at most {@link #DEMAND_LIMIT}
 *     entries
 */
public record Heartbeat(
    HostEntry sender,
    Revision revision,
    Optional<Duration> freshnessAge,
    MonotonicTime sentAt,
    Optional<MonotonicTime> echoedSentAt,
    List<RelayedHostState> relayedHosts,
    Map<WorkspaceId, Double> demand)
    implements PeerMessage {

  /** Limits the hosts listed, so that a heartbeat does not grow with the number of hosts. */
  public static final int RELAYED_HOST_LIMIT = 6;

  /** Limits the demands listed, so that a heartbeat does not grow with the number of workspaces. */
  public static final int DEMAND_LIMIT = 8;

  /** Checks the limits and copies the collections. */
  public Heartbeat {
    Objects.requireNonNull(sender, "sender");
    Objects.requireNonNull(revision, "revision");
    DurationLimits.check(freshnessAge);
    Objects.requireNonNull(sentAt, "sentAt");
    Objects.requireNonNull(echoedSentAt, "echoedSentAt");
    relayedHosts = List.copyOf(relayedHosts);
    demand = Map.copyOf(demand);
    if (relayedHosts.size() > RELAYED_HOST_LIMIT || demand.size() > DEMAND_LIMIT) {
      throw new IllegalArgumentException(
          "a heartbeat lists at most "
              + RELAYED_HOST_LIMIT
              + " hosts and "
              + DEMAND_LIMIT
              + " demands, not "
              + relayedHosts.size()
              + " and "
              + demand.size());
    }
    if (demand.values().stream().anyMatch(rate -> !(rate >= 0 && rate < Double.MAX_VALUE))) {
      throw new IllegalArgumentException(
          "a demand in a heartbeat is negative or not a finite number");
    }
  }
}
