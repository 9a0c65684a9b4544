package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.engine.RateLimit;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.RelayHost;
import org.persimmonwalk.engine.control.RelayRole;
import org.persimmonwalk.engine.control.TokenRequestsEnded;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Decides whom this host asks for tokens. Its sessions ask the lender of their workspace or one
 * that stands in for it. The relay of a zone borrows the tokens of large workspaces from the relay
 * of the workspace's owner zone, which alone writes the rate row in calm operation; if that one
 * does not lend, it takes tokens from the row itself.
 */
final class PoolLenders {
  /**
   * A loan is valid for 1.8 s from its request, and the hosts need two replies of that: with
   * replies of 600 ms, a fifth of the operations found only expired tokens at their host.
   */
  private static final Duration LONGEST_REPLY_TIME = Duration.ofMillis(450);

  private final EngineSettings settings;
  private final UnableLenders unable = new UnableLenders();
  private Map<AvailabilityZone, RelayHost> reachable = Map.of();
  private final Map<RelayHost, ReplyTimes> replyTimes = new HashMap<>();
  private Set<RelayHost> slow = Set.of();
  private Set<RelayHost> failed = Set.of();
  private Set<RelayHost> busy = Set.of();
  private Map<WorkspaceId, RateLimit> limits = Map.of();
  private int fleetSize;
  private boolean mayBorrow;
  private MonotonicTime startedAt;
  private MonotonicTime now;

  PoolLenders(EngineSettings settings) {
    this.settings = settings;
  }

  void setLimits(Map<WorkspaceId, RateLimit> newLimits, int newFleetSize) {
    limits = newLimits;
    fleetSize = newFleetSize;
  }

  /** Reads who can lend now. */
  void update(Blackboard blackboard, MonotonicTime time, MonotonicTime resumedAt) {
    now = time;
    startedAt = startedAt == null ? now : startedAt;
    mayBorrow = blackboard.get(EngineEntries.RELAY_ROLE).isRelay() && knowsItsLoans(resumedAt);
    reachable = blackboard.get(EngineEntries.LENDERS);
    blackboard
        .observations(TokenRequestsEnded.class)
        .filter(ended -> ended.reply().isPresent())
        .forEach(ended -> record(ended.command().lender(), ended.endedAt().since(ended.sentAt())));
    blackboard.observations(TokenRequestsEnded.class).forEach(ended -> unable.record(ended, now));
    replyTimes.keySet().removeIf(lender -> !reachable.containsValue(lender));
    slow = blackboard.get(EngineEntries.SLOW_LENDERS);
    failed = blackboard.get(EngineEntries.FAILED_LENDERS);
    Set<RelayHost> unanswered =
        new HashSet<>(blackboard.get(EngineEntries.UNANSWERED_LENDERS).keySet());
    blackboard
        .observations(TokenRequestsEnded.class)
        .forEach(ended -> unanswered.remove(ended.command().lender()));
    busy = unanswered;
  }

  private void record(RelayHost lender, Duration replyTime) {
    replyTimes.computeIfAbsent(lender, unused -> new ReplyTimes()).record(replyTime);
  }

  private boolean isSuitable(RelayHost lender, boolean isUrgent) {
    ReplyTimes times = replyTimes.get(lender);
    boolean isQuick = times == null || times.average().compareTo(LONGEST_REPLY_TIME) < 0;
    return isQuick && !(isUrgent && slow.contains(lender));
  }

  /**
   * Returns whether this process knows of all tokens that other hosts still hold from it. Its
   * previous process, or it before a suspension, may have lent tokens that it does not know of; if
   * it told the owner that it held none, the owner would take them back too early.
   */
  private boolean knowsItsLoans(MonotonicTime resumedAt) {
    MonotonicTime since = resumedAt.isAfter(startedAt) ? resumedAt : startedAt;
    return now.since(since).compareTo(TokenPool.MAX_LOAN_DURATION) > 0;
  }

  /**
   * Returns the relay from which the tokens of the workspace are borrowed; none if this host takes
   * them from the row.
   *
   * @param isUrgent whether a host waits for a token, so that a slow lender is avoided
   */
  Optional<RelayHost> lender(WorkspaceId workspace, boolean isUrgent) {
    RateLimit limit = limits.get(workspace);
    if (!mayBorrow || limit == null || !LenderChoice.isLarge(limit, settings, fleetSize)) {
      return Optional.empty();
    }
    AvailabilityZone owner = LenderChoice.owner(workspace, settings);
    return owner.equals(settings.zone())
        ? Optional.empty()
        : Optional.ofNullable(reachable.get(owner))
            .filter(host -> isSuitable(host, isUrgent))
            .filter(host -> !unable.contains(workspace, host, now));
  }

  /**
   * Returns the lender that this host asks for the tokens of its own sessions: the first one that
   * is reachable and, if operations wait, not slow; if all are slow the first that is reachable,
   * whose reply is still under way. None if all have failed or are silent, or if this host takes
   * the tokens from its own pool.
   */
  Optional<RelayHost> lenderOfHost(
      WorkspaceId workspace, RelayRole role, boolean isUrgent, MonotonicTime resumedAt) {
    Map<AvailabilityZone, RelayHost> mayAsk = mayAsk(workspace, resumedAt);
    Optional<RelayHost> first = Optional.empty();
    for (AvailabilityZone zone :
        LenderChoice.order(workspace, limits.get(workspace), settings, fleetSize)) {
      if (zone.equals(settings.zone()) && role.isRelay()) {
        return Optional.empty();
      }
      RelayHost lender = mayAsk.get(zone);
      if (lender != null && !(isUrgent && slow.contains(lender))) {
        return Optional.of(lender);
      }
      first = first.isPresent() ? first : Optional.ofNullable(lender);
    }
    return first;
  }

  /**
   * Returns the lenders that this host may ask for tokens of the workspace. While it may not know
   * of all tokens lent by itself, it asks for those of a large workspace in its own zone only: a
   * lender in the owner zone may still count them as held by this host.
   */
  private Map<AvailabilityZone, RelayHost> mayAsk(WorkspaceId workspace, MonotonicTime resumedAt) {
    boolean isLarge = LenderChoice.isLarge(limits.get(workspace), settings, fleetSize);
    boolean isOwnZoneOnly = isLarge && !knowsItsLoans(resumedAt);
    Map<AvailabilityZone, RelayHost> lenders = new HashMap<>(reachable);
    lenders
        .entrySet()
        .removeIf(
            entry ->
                (isOwnZoneOnly && !entry.getKey().equals(settings.zone()))
                    || unable.contains(workspace, entry.getValue(), now));
    return lenders;
  }

  /**
   * Returns whether a lender that works may be asked for tokens of the workspace: by this host, or
   * by its pool if that borrows. One that has failed counts again from its next reply on, one that
   * had no token and can get none after a while.
   */
  boolean hasWorkingLender(WorkspaceId workspace, RelayRole role, MonotonicTime resumedAt) {
    if (lender(workspace, false).filter(host -> !failed.contains(host)).isPresent()) {
      return true;
    }
    Map<AvailabilityZone, RelayHost> lenders = mayAsk(workspace, resumedAt);
    for (AvailabilityZone zone :
        LenderChoice.order(workspace, limits.get(workspace), settings, fleetSize)) {
      RelayHost lender = lenders.get(zone);
      if (zone.equals(settings.zone()) && role.isRelay()) {
        return false;
      }
      if (lender != null && !failed.contains(lender)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a request to the lender is under way; another one must wait for its reply. */
  boolean isBusy(RelayHost lender) {
    return busy.contains(lender);
  }
}
