package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Inputs;
import org.persimmonwalk.blackboard.NextRun;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.RateLimit;
import org.persimmonwalk.engine.SuspensionDetector;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.control.LargeAnswerStarted;
import org.persimmonwalk.engine.control.RelayHost;
import org.persimmonwalk.engine.control.RelayRole;
import org.persimmonwalk.engine.control.RowDemand;
import org.persimmonwalk.engine.control.TokenGrant;
import org.persimmonwalk.engine.control.TokenLoan;
import org.persimmonwalk.engine.control.TokenReply;
import org.persimmonwalk.engine.control.TokenRequest;
import org.persimmonwalk.engine.control.TokenRequests;
import org.persimmonwalk.engine.control.TokenRequestsEnded;
import org.persimmonwalk.engine.control.TokenRequestsReceived;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.WorkspaceDemand;
import org.persimmonwalk.engine.control.ZoneRequest;
import org.persimmonwalk.engine.control.ZoneRequestReceived;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.SortedCopies;

/**
 * Obtains rate-limit tokens for the sessions of this host, from the store or from lenders, and
 * lends tokens to other hosts while this host is the relay of its zone. Writes the entries for
 * tokens, token requests, token loans, token replies and row demand, and for the times before which
 * no token comes.
 */
public final class RateController implements Controller {
  /**
   * How often all workspaces are examined. In between, only those are that had operations or still
   * need tokens: with a hundred workspaces, examining each in every round took most of the
   * processor time of the control thread.
   */
  private static final Duration SCAN_INTERVAL = Duration.ofMillis(250);

  private final EngineSettings settings;
  private final EngineTimings timings;
  private final SuspensionDetector suspension;
  private final TokenStatistics statistics;
  private final PoolLenders poolLenders;
  private final TokenPools pools;
  private final ReceivedTokenRequests received;
  private final StoreOutage outage = new StoreOutage();
  private final Map<WorkspaceId, WorkspaceTokens> workspaces = new TreeMap<>();
  private final Set<WorkspaceId> examined = new TreeSet<>();
  private final Map<WorkspaceId, TokenGrant> grants = new HashMap<>();
  private MonotonicTime scannedAt = MonotonicTime.of(Long.MIN_VALUE / 2);
  private Map<WorkspaceId, RateLimit> limits = Map.of();
  private int fleetSize;

  private RateController(EngineSettings settings, DecisionLog log, SuspensionDetector suspension) {
    this.settings = settings;
    this.timings = settings.timings();
    this.suspension = suspension;
    this.statistics = new TokenStatistics(log);
    this.poolLenders = new PoolLenders(settings);
    this.pools = new TokenPools(settings, log, statistics, poolLenders);
    this.received = new ReceivedTokenRequests(statistics);
  }

  /** Returns a controller that holds no tokens. */
  public static RateController create(
      EngineSettings settings, DecisionLog log, SuspensionDetector suspension) {
    return new RateController(settings, log, suspension);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    MonotonicTime now = context.now();
    MonotonicTime resumedAt = suspension.lastResumedAt();
    statistics.writeIfDue(now);
    updateLimits(blackboard);
    poolLenders.update(blackboard, now, resumedAt);
    blackboard.observations(WorkspaceDemand.class).forEach(reported -> record(reported, now));
    blackboard.observations(TokenRequestsEnded.class).forEach(ended -> applyLoans(ended, now));
    outage.update(blackboard);
    pools.handleAnswers(blackboard, now);
    pools.dropExpired(now, resumedAt);
    selectExamined(now);
    Duration replyTime = blackboard.get(EngineEntries.LENDER_REPLY_TIME);
    examined.forEach(workspace -> workspaces.get(workspace).setReplyTime(replyTime));
    examined.forEach(
        workspace ->
            statistics.add(
                TokenStatistics.Count.LAPSED,
                workspaces.get(workspace).dropExpired(now, resumedAt)));
    lendToOthers(blackboard, now, resumedAt);
    Map<WorkspaceId, RelayHost> lenders = lenders(blackboard, now, resumedAt);
    lendToSelf(
        now, resumedAt, workspace -> !lenders.containsKey(workspace) || pools.hasTokens(workspace));
    publishRequests(blackboard, lenders, pools.requests(replyTime, now), now);
    boolean hasLenders =
        examined.stream().allMatch(workspace -> hasLender(workspace, lenders, now));
    if (blackboard.get(EngineEntries.RELAY_ROLE).isClient() && hasLenders) {
      pools.returnStock(blackboard, now);
      publish(blackboard, RowDemand.NONE);
    } else {
      pools.acquireIfNeeded(blackboard, context);
      boolean isRelay = blackboard.get(EngineEntries.RELAY_ROLE).isRelay();
      publish(blackboard, pools.rowDemand(isRelay, now));
    }
    publishOutlook(blackboard, now, resumedAt);
    examined.removeIf(workspace -> !workspaces.get(workspace).needsTokens(now));
  }

  @Override
  public Optional<Inputs> inputs() {
    return Optional.of(
        Inputs.ofObservations(
                WorkspaceDemand.class,
                TokenRequestsEnded.class,
                TokenRequestsReceived.class,
                ZoneRequestReceived.class,
                TransactionAnswered.class,
                LargeAnswerStarted.class)
            .andEntries(
                EngineEntries.RESUMED_AT,
                EngineEntries.CONFIGURATION,
                EngineEntries.FLEET_SIZE,
                EngineEntries.RELAY_ROLE,
                EngineEntries.LENDERS,
                EngineEntries.SLOW_LENDERS,
                EngineEntries.FAILED_LENDERS,
                EngineEntries.LENDER_REPLY_TIME,
                EngineEntries.STORE_ERA));
  }

  @Override
  public NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
    // Replies and loans are those of one round, so the next one withdraws them.
    boolean isBusy =
        !examined.isEmpty()
            || received.isWaiting()
            || pools.isAnyActive(now)
            || !blackboard.get(EngineEntries.TOKEN_REPLIES).isEmpty()
            || !blackboard.get(EngineEntries.TOKEN_LOANS).isEmpty();
    if (isBusy) {
      return NextRun.inNextRound(now);
    }
    NextRun next = NextRun.at(statistics.nextLineAt());
    return workspaces.isEmpty() && pools.isEmpty()
        ? next
        : next.orAt(scannedAt.plus(SCAN_INTERVAL));
  }

  private boolean hasLender(
      WorkspaceId workspace, Map<WorkspaceId, RelayHost> lenders, MonotonicTime now) {
    return lenders.containsKey(workspace) || !workspaces.get(workspace).needsTokens(now);
  }

  private void selectExamined(MonotonicTime now) {
    if (now.since(scannedAt).compareTo(SCAN_INTERVAL) >= 0) {
      scannedAt = now;
      examined.addAll(workspaces.keySet());
    }
  }

  /** Decides anew which tokens to hold in advance when the limits or the fleet have changed. */
  private void updateLimits(Blackboard blackboard) {
    Map<WorkspaceId, RateLimit> newest = blackboard.get(EngineEntries.CONFIGURATION).limits();
    int newestSize = blackboard.get(EngineEntries.FLEET_SIZE);
    if (newest != limits || newestSize != fleetSize) {
      limits = newest;
      fleetSize = newestSize;
      pools.setLimits(newest, newestSize);
      poolLenders.setLimits(newest, newestSize);
      workspaces.forEach(this::updateTarget);
    }
  }

  private void updateTarget(WorkspaceId workspace, WorkspaceTokens tokens) {
    RateLimit limit = limits.get(workspace);
    tokens.setHeldInAdvance(
        limit != null && LenderChoice.isLarge(limit, settings, fleetSize),
        limit != null && LenderChoice.sufficesForAllHosts(limit, settings, fleetSize));
  }

  private void record(WorkspaceDemand reported, MonotonicTime now) {
    WorkspaceTokens tokens = workspaces.get(reported.workspace());
    if (tokens == null) {
      tokens = new WorkspaceTokens(now);
      workspaces.put(reported.workspace(), tokens);
      updateTarget(reported.workspace(), tokens);
    }
    tokens.recordDemand(reported, now);
    if (reported.operations() > 0 || reported.waiting() > 0) {
      examined.add(reported.workspace());
    }
  }

  private void applyLoans(TokenRequestsEnded ended, MonotonicTime now) {
    Set<WorkspaceId> forPools =
        ended.command().requests().stream()
            .filter(TokenRequest::forPool)
            .map(TokenRequest::workspace)
            .collect(Collectors.toSet());
    ended.command().requests().stream()
        .filter(request -> !request.forPool())
        .map(TokenRequest::workspace)
        .filter(workspaces::containsKey)
        .forEach(workspace -> workspaces.get(workspace).recordRequest(ended.sentAt()));
    ended
        .reply()
        .ifPresent(
            reply ->
                reply
                    .loans()
                    .forEach(
                        loan -> {
                          if (forPools.contains(loan.workspace())) {
                            pools.applyLoan(loan, ended.sentAt(), now);
                          } else if (workspaces.containsKey(loan.workspace())) {
                            grant(loan, ended.sentAt(), now);
                          }
                        }));
  }

  private void grant(TokenLoan loan, MonotonicTime requestedAt, MonotonicTime now) {
    workspaces.get(loan.workspace()).grant(loan, requestedAt, now);
    examined.add(loan.workspace());
    statistics.addGranted(loan.tokens(), now);
  }

  private void lendToOthers(Blackboard blackboard, MonotonicTime now, MonotonicTime resumedAt) {
    boolean isRelay = blackboard.get(EngineEntries.RELAY_ROLE).isRelay();
    blackboard
        .observations(TokenRequestsReceived.class)
        .forEach(request -> received.add(request, now));
    boolean reachesStore = reachesStore(blackboard, now);
    Map<Long, TokenReply> replies =
        isRelay
            ? received.answer(
                (host, request) -> pools.lend(host, request, now, resumedAt),
                workspace -> reachesStore || pools.isRefilled(workspace, now),
                now)
            : received.rejectAll();
    if (!replies.equals(blackboard.get(EngineEntries.TOKEN_REPLIES))) {
      blackboard.put(EngineEntries.TOKEN_REPLIES, SortedCopies.of(replies));
    }
    Map<Long, List<TokenLoan>> lent = new HashMap<>();
    if (isRelay) {
      blackboard
          .observations(ZoneRequestReceived.class)
          .forEach(
              zoneRequest ->
                  lent.put(zoneRequest.exchangeId(), lend(zoneRequest.request(), now, resumedAt)));
    }
    if (!lent.equals(blackboard.get(EngineEntries.TOKEN_LOANS))) {
      blackboard.put(EngineEntries.TOKEN_LOANS, Map.copyOf(lent));
    }
  }

  /** Lends to a host of an older build, which sends its token requests with those to the relay. */
  private List<TokenLoan> lend(ZoneRequest request, MonotonicTime now, MonotonicTime resumedAt) {
    return request.tokenRequests().stream()
        .map(tokenRequest -> pools.lend(request.from(), tokenRequest, now, resumedAt))
        .toList();
  }

  private boolean reachesStore(Blackboard blackboard, MonotonicTime now) {
    return blackboard
        .get(EngineEntries.VERIFIED_AT)
        .filter(at -> now.since(at).compareTo(timings.claimFreshness()) < 0)
        .isPresent();
  }

  /**
   * Returns the lender of each workspace that needs tokens; none for those whose tokens this host
   * takes from the store itself.
   */
  private Map<WorkspaceId, RelayHost> lenders(
      Blackboard blackboard, MonotonicTime now, MonotonicTime resumedAt) {
    RelayRole role = blackboard.get(EngineEntries.RELAY_ROLE);
    Map<WorkspaceId, RelayHost> lenders = new LinkedHashMap<>();
    examined.forEach(
        workspace -> {
          WorkspaceTokens tokens = workspaces.get(workspace);
          if (tokens.needsTokens(now) && limits.containsKey(workspace)) {
            poolLenders
                .lenderOfHost(workspace, role, tokens.isUrgent(now), resumedAt)
                .ifPresent(host -> lenders.put(workspace, host));
          }
        });
    return lenders;
  }

  /**
   * Grants this host tokens from its own pools. A host that has just found a relay may still have
   * tokens that it took from the store itself.
   */
  private void lendToSelf(
      MonotonicTime now, MonotonicTime resumedAt, Predicate<WorkspaceId> canLend) {
    examined.forEach(
        workspace -> {
          WorkspaceTokens tokens = workspaces.get(workspace);
          if (tokens.needsTokens(now) && canLend.test(workspace)) {
            TokenRequest request = tokens.request(workspace, now);
            grant(pools.lend(settings.host(), request, now, resumedAt), now, now);
          }
        });
  }

  private void publishRequests(
      Blackboard blackboard,
      Map<WorkspaceId, RelayHost> lenders,
      Map<RelayHost, List<TokenRequest>> forPools,
      MonotonicTime now) {
    Map<RelayHost, List<TokenRequest>> requests = new LinkedHashMap<>(forPools);
    Set<RelayHost> urgent = new HashSet<>();
    forPools.forEach(
        (lender, list) -> {
          if (list.stream().anyMatch(request -> request.waiting() > 0 || request.held() == 0)) {
            urgent.add(lender);
          }
        });
    lenders.forEach(
        (workspace, lender) -> {
          WorkspaceTokens tokens = workspaces.get(workspace);
          if (tokens.needsTokens(now)) {
            requests
                .computeIfAbsent(lender, unused -> new ArrayList<>())
                .add(
                    tokens.request(workspace, now).withFurther(pools.lentToOthers(workspace, now)));
            if (tokens.isUrgent(now)) {
              urgent.add(lender);
            }
          }
        });
    Map<RelayHost, TokenRequests> needed = new LinkedHashMap<>();
    requests.forEach(
        (lender, list) -> needed.put(lender, new TokenRequests(list, urgent.contains(lender))));
    if (!needed.equals(blackboard.get(EngineEntries.TOKEN_REQUESTS))) {
      blackboard.put(EngineEntries.TOKEN_REQUESTS, Collections.unmodifiableMap(needed));
    }
  }

  /** Tells for which operations that wait here no token will come in time. */
  private void publishOutlook(Blackboard blackboard, MonotonicTime now, MonotonicTime resumedAt) {
    RelayRole role = blackboard.get(EngineEntries.RELAY_ROLE);
    boolean isStoreDown = outage.isDown(reachesStore(blackboard, now));
    Map<WorkspaceId, MonotonicTime> noTokenBefore = new HashMap<>();
    for (WorkspaceId workspace : examined) {
      if (workspaces.get(workspace).isWaiting(now)
          && limits.containsKey(workspace)
          && !pools.hasTokens(workspace)) {
        new TokenOutlook(
                pools.isRefilled(workspace, now)
                    || poolLenders.hasWorkingLender(workspace, role, resumedAt),
                isStoreDown,
                pools.emptyUntil(workspace))
            .noTokenBefore(now)
            .ifPresent(time -> noTokenBefore.put(workspace, time));
      }
    }
    if (!noTokenBefore.equals(blackboard.get(EngineEntries.NO_TOKEN_BEFORE))) {
      blackboard.put(EngineEntries.NO_TOKEN_BEFORE, Map.copyOf(noTokenBefore));
    }
  }

  private void publish(Blackboard blackboard, RowDemand demand) {
    boolean changed = false;
    for (WorkspaceId workspace : examined) {
      TokenGrant grant = workspaces.get(workspace).toGrant();
      changed |= !grant.equals(grants.put(workspace, grant));
    }
    if (changed) {
      blackboard.put(EngineEntries.TOKENS, Map.copyOf(grants));
    }
    if (!demand.equals(blackboard.get(EngineEntries.ROW_DEMAND))) {
      blackboard.put(EngineEntries.ROW_DEMAND, demand);
    }
  }
}
