package org.persimmonwalk.internal.control.primary;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.command.FollowPrimary;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.FollowOrder;
import org.persimmonwalk.model.GroupView;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ServerRole;
import org.persimmonwalk.model.ServerSample;
import org.persimmonwalk.model.ServerView;

/**
 * Makes servers follow the current primary if they do not: an old primary that comes back, and
 * replicas that the promoting host did not reach. It runs after {@link PrimaryController}; the time
 * of the next command to each such server is in entry {@link Entries#FOLLOW_ORDERS}.
 */
public final class FollowController implements Controller {
  private final EntryHostId host;
  private final PromotionSettings settings;

  private FollowController(EntryHostId host, PromotionSettings settings) {
    this.host = host;
    this.settings = settings;
  }

  /** Returns the controller of the given entry host. */
  public static FollowController of(EntryHostId host, PromotionSettings settings) {
    return new FollowController(host, settings);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    Map<BackendServerId, FollowOrder> known = blackboard.get(Entries.FOLLOW_ORDERS);
    Map<BackendServerId, FollowOrder> next = new HashMap<>();
    for (GroupView group : blackboard.get(Entries.GROUPS).values()) {
      if (group.primaryView().filter(view -> isFresh(view, context.now())).isEmpty()) {
        continue;
      }
      for (ServerView view : group.servers()) {
        if (isFresh(view, context.now()) && needsRepointing(group, view)) {
          BackendServerId server = view.server().id();
          FollowOrder order = known.get(server);
          if (order == null || !order.term().equals(group.term())) {
            order = scheduleFirst(group, blackboard, context);
          }
          next.put(server, submitIfDue(order, group, view, blackboard, context));
        }
      }
    }
    if (!next.equals(known)) {
      blackboard.put(Entries.FOLLOW_ORDERS, Map.copyOf(next));
    }
  }

  /**
   * Returns whether the server is in a lower term than the group or fenced in the group's term. A
   * server that is fenced in a higher term waits for the promotion in that term instead.
   */
  private static boolean needsRepointing(GroupView group, ServerView view) {
    ServerSample sample = view.sample().get();
    return group.term().isAfter(sample.term())
        || sample.role() == ServerRole.FENCED && sample.term().equals(group.term());
  }

  private FollowOrder scheduleFirst(GroupView group, Blackboard blackboard, RoundContext context) {
    int rank = HostRank.of(host, group.id(), blackboard.get(Entries.LIVE_HOSTS));
    Duration delay = HostRank.delay(rank, settings.rankStep(), context.random());
    return new FollowOrder(group.term(), context.now().plus(delay));
  }

  private FollowOrder submitIfDue(
      FollowOrder order,
      GroupView group,
      ServerView view,
      Blackboard blackboard,
      RoundContext context) {
    if (context.now().isBefore(order.dueAt())) {
      return order;
    }
    blackboard.submit(
        new FollowPrimary(view.server(), group.term(), group.primaryView().orElseThrow().server()));
    return new FollowOrder(group.term(), context.now().plus(settings.retryInterval()));
  }

  private boolean isFresh(ServerView view, MonotonicTime now) {
    return view.isFresh(settings.maxSampleAge(), now);
  }
}
