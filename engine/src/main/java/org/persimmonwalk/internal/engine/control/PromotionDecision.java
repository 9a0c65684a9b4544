package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.Optional;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.id.DatabaseGroupId;

/**
 * What the holder of the promotion lease does after a poll of the group's servers.
 *
 * @param action what to do
 * @param server the server to record or to promote; empty if the holder polls again
 * @param reason why, for the log
 */
record PromotionDecision(Action action, Optional<ServerEntry> server, String reason) {

  /** How long a planned replacement waits until a replica has received the whole log. */
  private static final Duration CATCH_UP_TIMEOUT = Duration.ofMillis(800);

  /**
   * How long a promotion waits for the replicas that don't answer if those that do lack the newest
   * term. A busy replica refuses to tell its status.
   */
  private static final Duration NEWEST_TERM_TIMEOUT = Duration.ofMillis(3000);

  /** What to do next. */
  enum Action {
    /** Record the server, which is the primary already. */
    RECORD,
    /** Order the promotion of the server. */
    ORDER,
    /** Poll again. */
    WAIT
  }

  /**
   * The circumstances of a decision.
   *
   * @param planned whether the old primary still worked when its replacement was announced
   * @param leadershipVersion the version of the leadership row that announced the replacement
   * @param record what earlier holders of the lease left
   * @param synchronousReplicas how many replicas acknowledge a commit before its caller hears
   * @param polling since when the holder of the lease has polled
   * @param replacing since when this host has worked on the replacement
   */
  record Circumstances(
      boolean planned,
      long leadershipVersion,
      PromotionRecord record,
      int synchronousReplicas,
      Duration polling,
      Duration replacing) {}

  static PromotionDecision of(StatusPoll poll, Circumstances circumstances) {
    // A promotion that was ordered may still take effect, so the old primary can't stay.
    boolean isOrderPending =
        circumstances.record().isOrderPending(circumstances.leadershipVersion());
    // If it isn't known whether one was ordered, all servers together tell whether one has led
    // since.
    boolean mayStay =
        !isOrderPending || (circumstances.record().isOrderUnknown() && poll.haveAllAnswered());
    Optional<ServerEntry> current = poll.currentPrimary(!circumstances.planned() && mayStay);
    if (current.isPresent()) {
      return new PromotionDecision(Action.RECORD, current, "it is the primary already");
    }
    Optional<ServerEntry> best = poll.mostAdvanced(circumstances.synchronousReplicas());
    if (best.isEmpty()) {
      return waiting("too few replicas answered");
    }
    Optional<ServerEntry> ordered =
        poll.orderedBefore(
            circumstances.record(),
            circumstances.leadershipVersion(),
            circumstances.synchronousReplicas(),
            best.get());
    ServerEntry chosen = ordered.orElse(best.get());
    if (poll.mayLackCommits(chosen)
        && circumstances.replacing().compareTo(NEWEST_TERM_TIMEOUT) < 0) {
      return waiting("those that answered lack the newest term");
    }
    // With synchronous replicas the old primary may hold commits of an earlier term that were
    // acknowledged and that no other server has.
    boolean mayWaitForCatchUp =
        circumstances.synchronousReplicas() > 0
            || circumstances.polling().compareTo(CATCH_UP_TIMEOUT) < 0;
    if (circumstances.planned() && mayWaitForCatchUp && poll.isOldPrimaryAheadOf(chosen)) {
      return waiting("no replica has the whole log of the old primary");
    }
    // The old primary serves no more, so a replica that can stay soon has the whole log as well.
    boolean mayOneThatStaysCatchUp =
        circumstances.planned()
            && chosen.draining()
            && ordered.isEmpty()
            && poll.hasLastingReplica()
            && circumstances.polling().compareTo(CATCH_UP_TIMEOUT) < 0;
    if (mayOneThatStaysCatchUp) {
      return waiting("the longest log is on a server that can't stay the primary");
    }
    return new PromotionDecision(
        Action.ORDER,
        Optional.of(chosen),
        ordered.isPresent() ? "its promotion was ordered before" : "it has the longest log");
  }

  /** Logs the decision and what it rests on. */
  void write(DecisionLog log, DatabaseGroupId group, StatusPoll poll) {
    log.write(
        "promotion-decided",
        "group",
        group,
        "action",
        action,
        "server",
        server.map(ServerEntry::id).orElse(Leadership.NO_SERVER),
        "reason",
        reason,
        "newestTerm",
        poll.newestTerm(),
        "statuses",
        poll.statuses());
  }

  private static PromotionDecision waiting(String reason) {
    return new PromotionDecision(Action.WAIT, Optional.empty(), reason);
  }
}
