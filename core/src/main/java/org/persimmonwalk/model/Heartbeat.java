package org.persimmonwalk.model;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;

/**
 * Says that a host is alive, which configuration it has, and which hosts it has heard of.
 *
 * <p>A heartbeat that answers another one repeats the time that stands in it. The receiver thus
 * knows an instant on its own clock before which the answer cannot have been written, however long
 * the answer was under way.
 *
 * @param sender what the sending host says of itself
 * @param revision the revision that the sender has
 * @param freshnessAge the time since the revision was last known to be current, if it ever was
 * @param sentAt the sender's clock; only the sender may interpret it
 * @param answers the receiver's clock in the heartbeat that this one answers
 * @param heard other hosts that the sender heard of, at most {@link #HEARD_LIMIT}
 * @param demand statements per second at the sender, at most {@link #DEMAND_LIMIT} workspaces
 */
public record Heartbeat(
    HostEntry sender,
    Revision revision,
    Optional<Duration> freshnessAge,
    MonotonicTime sentAt,
    Optional<MonotonicTime> answers,
    List<HostNews> heard,
    Map<WorkspaceId, Double> demand)
    implements PeerMessage {

  /** Keeps the size of a heartbeat independent of the number of hosts. */
  public static final int HEARD_LIMIT = 6;

  /** Keeps the size of a heartbeat independent of the number of workspaces. */
  public static final int DEMAND_LIMIT = 8;

  /** Checks the limits and copies the collections. */
  public Heartbeat {
    Objects.requireNonNull(sender, "sender");
    Objects.requireNonNull(revision, "revision");
    Ages.check(freshnessAge);
    Objects.requireNonNull(sentAt, "sentAt");
    Objects.requireNonNull(answers, "answers");
    heard = List.copyOf(heard);
    demand = Map.copyOf(demand);
    if (heard.size() > HEARD_LIMIT || demand.size() > DEMAND_LIMIT) {
      throw new IllegalArgumentException(
          "a heartbeat lists at most " + HEARD_LIMIT + " hosts and " + DEMAND_LIMIT + " demands");
    }
    if (demand.values().stream().anyMatch(rate -> !(rate >= 0 && rate < Double.MAX_VALUE))) {
      throw new IllegalArgumentException("a demand in a heartbeat is negative or not a number");
    }
  }
}
