package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.RateLimit;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.control.LargeAnswerStarted;
import org.persimmonwalk.engine.control.RelayHost;
import org.persimmonwalk.engine.control.RowDemand;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.StoreTime;
import org.persimmonwalk.engine.control.TokenLoan;
import org.persimmonwalk.engine.control.TokenRequest;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionResult;
import org.persimmonwalk.engine.control.TransactionTag;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The token pools of this host, one for each workspace. Takes tokens from the workspaces' rate rows
 * in the store and lends them.
 */
final class TokenPools {
  /**
   * Hosts that write the same rows at the same time conflict, and a host that gives up gets no
   * token for a second. With 3 attempts, a small workspace on 15 hosts was refused now and then.
   */
  static final int MAX_ATTEMPTS = 8;

  /**
   * Each call has its own timeout. This one covers an answer that is lost inside this process,
   * which must not stop the taking of tokens for good.
   */
  static final Duration LOST_ANSWER_TIMEOUT = Duration.ofMillis(5000);

  /**
   * The maximum number of rate rows in a call. The store accepts 100 entries per call; each rate
   * row needs two of them, its expected version and its write, and the configuration and leadership
   * rows need one each, and the evacuation, relay and fleet rows one for each zone.
   */
  static final int MAX_ROWS = 34;

  /**
   * A relay takes tokens this long before its verification is due. An answer that takes longer
   * comes too late to replace the verification, which then costs a call as before.
   */
  private static final Duration VERIFICATION_LEAD = Duration.ofMillis(120);

  /** The minimum pause between two calls while operations wait for tokens of any workspace. */
  static final Duration MIN_PAUSE = Duration.ofMillis(50);

  private static final String PURPOSE = "take-tokens";

  private final EngineSettings settings;
  private final DecisionLog log;
  private final TokenStatistics statistics;
  private final Map<WorkspaceId, TokenPool> pools = new TreeMap<>();
  private Map<WorkspaceId, RateLimit> limits = Map.of();
  private final PoolLenders lenders;
  private final AcquisitionPlanner planner;
  private int fleetSize;
  private MonotonicTime lastCallAt = MonotonicTime.of(Long.MIN_VALUE / 2);
  private MonotonicTime pausedUntil = MonotonicTime.of(Long.MIN_VALUE / 2);
  private Attempt inFlight;
  private boolean hasBeenRelay;
  private long serial;

  TokenPools(
      EngineSettings settings, DecisionLog log, TokenStatistics statistics, PoolLenders lenders) {
    this.settings = settings;
    this.log = log;
    this.statistics = statistics;
    this.lenders = lenders;
    this.planner = new AcquisitionPlanner(settings, log);
  }

  TokenLoan lend(
      EntryHostId host, TokenRequest request, MonotonicTime now, MonotonicTime resumedAt) {
    boolean own = host.equals(settings.host());
    Duration maximumDuration = own ? EngineTimings.TOKEN_VALIDITY : TokenPool.MAX_LOAN_DURATION;
    TokenPool pool = pools.get(request.workspace());
    if (pool == null) {
      pool = new TokenPool(now);
      pools.put(request.workspace(), pool);
      updateLender(request.workspace(), pool);
    }
    TokenLoan loan = pool.lend(host, request, maximumDuration, now, resumedAt);
    statistics.add(TokenStatistics.Count.LENT, loan.tokens());
    return loan;
  }

  /** Sets the limits and the number of hosts, by which this host lends tokens. */
  void setLimits(Map<WorkspaceId, RateLimit> newLimits, int newFleetSize) {
    pools.forEach(
        (workspace, pool) -> pool.refill().lower(limits.get(workspace), newLimits.get(workspace)));
    limits = newLimits;
    fleetSize = newFleetSize;
    pools.forEach(this::updateLender);
  }

  private void updateLender(WorkspaceId workspace, TokenPool pool) {
    RateLimit limit = limits.get(workspace);
    pool.setLender(limit != null && LenderChoice.isLender(workspace, limit, settings, fleetSize));
  }

  boolean hasTokens(WorkspaceId workspace) {
    return pools.containsKey(workspace) && pools.get(workspace).hasTokens();
  }

  /** Returns whether the pool gets tokens without a call to the store. */
  boolean isRefilled(WorkspaceId workspace, MonotonicTime now) {
    return pools.containsKey(workspace) && pools.get(workspace).refill().isActive(now);
  }

  /** Returns until when calls of this host bring no token; empty if that is not known. */
  Optional<MonotonicTime> emptyUntil(WorkspaceId workspace) {
    return isInFlight(workspace)
        ? Optional.empty()
        : Optional.ofNullable(pools.get(workspace)).map(TokenPool::emptyUntil);
  }

  boolean isEmpty() {
    return pools.isEmpty();
  }

  /** Returns whether tokens of a workspace may be needed. */
  boolean isAnyActive(MonotonicTime now) {
    for (TokenPool pool : pools.values()) {
      if (pool.isActive(now)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the tokens of the workspace that other hosts may still spend. */
  long lentToOthers(WorkspaceId workspace, MonotonicTime now) {
    TokenPool pool = pools.get(workspace);
    return pool == null ? 0 : pool.lentToOthers(settings.host(), now);
  }

  /** Returns the requests to the lenders of those pools that borrow, and need tokens. */
  Map<RelayHost, List<TokenRequest>> requests(Duration replyTime, MonotonicTime now) {
    Map<RelayHost, List<TokenRequest>> requests = new LinkedHashMap<>();
    pools.forEach(
        (workspace, pool) ->
            lenders
                .lender(workspace, pool.isExhausted())
                .filter(lender -> !lenders.isBusy(lender) && !isInFlight(workspace))
                .ifPresent(
                    lender -> {
                      pool.setMinimumHeld(planner.minimumBorrowed(limits.get(workspace)));
                      pool.dropExcess(now);
                      if (pool.needsLoan(replyTime, now)) {
                        requests
                            .computeIfAbsent(lender, unused -> new ArrayList<>())
                            .add(pool.request(workspace, now));
                      }
                    }));
    return requests;
  }

  private boolean isInFlight(WorkspaceId workspace) {
    return inFlight != null && inFlight.acquisitions().containsKey(workspace);
  }

  /** Adds the tokens of a loan to the pool that has requested it. */
  void applyLoan(TokenLoan loan, MonotonicTime requestedAt, MonotonicTime now) {
    TokenPool pool = pools.get(loan.workspace());
    if (pool != null && !isInFlight(loan.workspace())) {
      pool.grantLoan(loan, requestedAt, now);
      statistics.add(TokenStatistics.Count.BORROWED, loan.tokens());
    }
  }

  void dropExpired(MonotonicTime now, MonotonicTime resumedAt) {
    for (TokenPool pool : pools.values()) {
      statistics.add(TokenStatistics.Count.POOL_LAPSED, pool.dropExpired(now, resumedAt));
    }
  }

  /** Returns the rate rows that the next verification should include. */
  RowDemand rowDemand(boolean isRelay, MonotonicTime now) {
    return new RowDemand(
        workspacesToRenew(isRelay, now).stream().map(RateRow::key).collect(Collectors.toSet()));
  }

  /**
   * Takes tokens if they are needed: at once if operations wait for them, otherwise when a
   * verification has just returned the rows, so that fewer calls conflict, or, at a relay, in place
   * of the next verification.
   */
  void acquireIfNeeded(Blackboard blackboard, RoundContext context) {
    MonotonicTime now = context.now();
    planner.start(now);
    if (inFlight != null && now.since(inFlight.startedAt()).compareTo(LOST_ANSWER_TIMEOUT) > 0) {
      inFlight.acquisitions().keySet().forEach(workspace -> pools.get(workspace).forgetReturned());
      inFlight = null;
    }
    if (inFlight != null) {
      return;
    }
    boolean rowsAreFresh =
        blackboard
            .observations(TransactionAnswered.class)
            .filter(
                answer ->
                    answer.transaction().tag().purpose().equals(VerificationController.PURPOSE))
            .anyMatch(answer -> answer.time().isPresent());
    boolean isRelay = blackboard.get(EngineEntries.RELAY_ROLE).isRelay();
    hasBeenRelay |= isRelay;
    boolean isDue = rowsAreFresh || (isRelay && isVerificationNear(blackboard, now));
    if (isDue && !select(pool -> pool.needsTokens(now), now).isEmpty()) {
      acquire(blackboard, now, 1, workspacesToRenew(isRelay, now));
    } else if (!now.isBefore(pausedUntil)
        && now.since(lastCallAt).compareTo(MIN_PAUSE) >= 0
        && !select(pool -> pool.isUrgent(now), now).isEmpty()) {
      acquire(blackboard, now, 1, select(pool -> pool.needsTokens(now), now));
    }
  }

  /**
   * Returns to the rows what this host has taken as the relay of its zone, once another host has
   * the role. Responds to relays that change while many hosts restart: the former relay kept its
   * stock of all workspaces, and the new one found none left until it expired.
   */
  void returnStock(Blackboard blackboard, MonotonicTime now) {
    if (!hasBeenRelay || inFlight != null) {
      return;
    }
    Set<WorkspaceId> stocked = select(TokenPool::hasStock, now);
    hasBeenRelay = !stocked.isEmpty();
    stocked.forEach(workspace -> pools.get(workspace).returnStock());
    acquire(blackboard, now, 1, stocked);
  }

  /**
   * Returns whether the next verification is due so soon that a call that takes tokens replaces it:
   * a relay's calls expect all rows that a verification does.
   */
  private boolean isVerificationNear(Blackboard blackboard, MonotonicTime now) {
    Duration age = settings.timings().verificationInterval().minus(VERIFICATION_LEAD);
    return now.since(lastCallAt).compareTo(age) >= 0
        && blackboard
            .get(EngineEntries.VERIFIED_AT)
            .filter(at -> now.since(at).compareTo(age) >= 0)
            .isPresent();
  }

  /**
   * Returns the workspaces whose tokens the next regular call takes. A relay renews those of all
   * workspaces in use, so that they last as long as possible if the store falls silent. A host that
   * acts for itself writes no row without need, because many such hosts conflict with each other.
   */
  private Set<WorkspaceId> workspacesToRenew(boolean isRelay, MonotonicTime now) {
    return select(pool -> isRelay ? pool.isActive(now) : pool.needsTokens(now), now);
  }

  /**
   * Returns the workspaces whose pools fulfil the condition and do not borrow; if there are more
   * than fit into a call, first those that need tokens, of which those that have waited longest
   * since their last call.
   */
  private Set<WorkspaceId> select(Predicate<TokenPool> condition, MonotonicTime now) {
    return pools.entrySet().stream()
        .filter(entry -> condition.test(entry.getValue()))
        .filter(entry -> isTakenFromRow(entry.getKey(), entry.getValue()))
        .sorted(
            Map.Entry.comparingByValue(
                Comparator.comparing((TokenPool pool) -> !pool.needsTokens(now))
                    .thenComparing(TokenPool::lastStoreCallAt)))
        .limit(MAX_ROWS)
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  private boolean isTakenFromRow(WorkspaceId workspace, TokenPool pool) {
    return lenders.lender(workspace, pool.isExhausted()).isEmpty();
  }

  private void acquire(
      Blackboard blackboard, MonotonicTime now, int attempt, Set<WorkspaceId> workspaces) {
    Optional<StoreTime> time = blackboard.get(EngineEntries.STORE_TIME);
    if (time.isEmpty()
        || !StoreEraRow.isSettled(blackboard)
        || !KnownRows.isConfigurationValid(blackboard, settings.bounds(), now)) {
      return;
    }
    Map<WorkspaceId, AcquisitionPlanner.Acquisition> acquisitions = new LinkedHashMap<>();
    workspaces.stream()
        .filter(limits::containsKey)
        .forEach(
            workspace ->
                acquisitions.put(
                    workspace,
                    planner.plan(
                        blackboard,
                        workspace,
                        pools.get(workspace),
                        limits.get(workspace),
                        time.get(),
                        now)));
    if (acquisitions.isEmpty()) {
      return;
    }
    inFlight = new Attempt(++serial, attempt, now, acquisitions);
    lastCallAt = now;
    statistics.add(TokenStatistics.Count.CALLS, 1);
    blackboard.submit(
        planner.transaction(blackboard, TransactionTag.of(PURPOSE, serial), acquisitions));
  }

  /** Adds the tokens taken to the pools, or retries after a conflict. */
  void handleAnswers(Blackboard blackboard, MonotonicTime now) {
    // Only a refusal is large, and the tokens must not wait until all of it has arrived.
    blackboard
        .observations(LargeAnswerStarted.class)
        .filter(started -> isInFlight(started.transaction()))
        .forEach(started -> retry(blackboard, now));
    blackboard
        .observations(TransactionAnswered.class)
        .filter(answer -> isInFlight(answer.transaction()))
        .forEach(answer -> handleAnswer(blackboard, answer, now));
  }

  private boolean isInFlight(RunTransaction transaction) {
    return inFlight != null
        && transaction.tag().equals(TransactionTag.of(PURPOSE, inFlight.serial()));
  }

  private void retry(Blackboard blackboard, MonotonicTime now) {
    Attempt ended = inFlight;
    inFlight = null;
    statistics.add(TokenStatistics.Count.CONFLICTS, 1);
    if (ended.attempt() >= MAX_ATTEMPTS) {
      statistics.add(TokenStatistics.Count.ABANDONED, 1);
      return;
    }
    acquire(blackboard, now, ended.attempt() + 1, ended.acquisitions().keySet());
  }

  private void handleAnswer(Blackboard blackboard, TransactionAnswered answer, MonotonicTime now) {
    if (answer.result() == TransactionResult.CONFLICT) {
      retry(blackboard, now);
      return;
    }
    Attempt ended = inFlight;
    inFlight = null;
    if (answer.result() == TransactionResult.APPLIED) {
      ended.acquisitions().forEach((key, taken) -> grant(key, taken, ended.startedAt()));
    } else {
      ended.acquisitions().keySet().forEach(workspace -> pools.get(workspace).forgetReturned());
      pausedUntil = now.plus(VerificationController.FAILURE_PAUSE);
    }
  }

  private void grant(
      WorkspaceId workspace, AcquisitionPlanner.Acquisition acquisition, MonotonicTime startedAt) {
    statistics.add(TokenStatistics.Count.TAKEN, acquisition.tokens());
    pools.get(workspace).grant(acquisition, startedAt, EngineTimings.TOKEN_VALIDITY);
    RateLimit limit = limits.get(workspace);
    if (limit != null) {
      pools.get(workspace).setBucket(planner.forecast(acquisition.row(), limit));
    }
    if (acquisition.scarce()) {
      log.write(
          "tokens-scarce",
          "workspace",
          workspace,
          "taken",
          acquisition.tokens(),
          "left",
          acquisition.row().tokens());
    }
  }

  private record Attempt(
      long serial,
      int attempt,
      MonotonicTime startedAt,
      Map<WorkspaceId, AcquisitionPlanner.Acquisition> acquisitions) {}
}
