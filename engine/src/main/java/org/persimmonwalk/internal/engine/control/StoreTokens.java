package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.RateLimit;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.RowDemand;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.StoreTime;
import org.persimmonwalk.engine.control.TokenAsk;
import org.persimmonwalk.engine.control.TokenLoan;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionResult;
import org.persimmonwalk.engine.control.TransactionTag;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/** Takes tokens from the rows of the workspaces into pools and lends them. */
final class StoreTokens {
  /**
   * Hosts that change the same rows at once conflict; a host that gives up has no token for a
   * second. With 3 attempts a small workspace on 15 hosts was refused now and then.
   */
  static final int ATTEMPTS = 8;

  /**
   * The part of the capacity that the takers of a workspace's tokens hold in equal parts even
   * without demand, so that operations are admitted at once, also while the store is away. The rest
   * serves takers with more demand than others.
   */
  private static final double READY_PART = 0.4;

  /** Calls end by their own timeout; an answer lost inside this process must not stop the rest. */
  static final Duration OVERDUE = Duration.ofMillis(5000);

  /**
   * The store takes 100 entries per call; a call states and writes each rate row, and states the
   * configuration and leadership rows besides.
   */
  static final int MOST_ROWS = 40;

  private static final String PURPOSE = "take-tokens";

  private final EngineSettings settings;
  private final DecisionLog log;
  private final Map<WorkspaceId, TokenPool> pools = new TreeMap<>();
  private Optional<MonotonicTime> startedAt = Optional.empty();
  private Attempt inFlight;
  private long serial;

  StoreTokens(EngineSettings settings, DecisionLog log) {
    this.settings = settings;
    this.log = log;
  }

  TokenLoan lend(EntryHostId host, TokenAsk ask, MonotonicTime now, MonotonicTime resumedAt) {
    boolean own = host.equals(settings.host());
    Duration longest = own ? Duration.ofMillis(RateRow.VALID_MILLIS) : TokenPool.LOAN_VALID;
    return pools
        .computeIfAbsent(ask.workspace(), unused -> new TokenPool(now))
        .lend(host, ask, longest, now, resumedAt);
  }

  boolean hasTokens(WorkspaceId workspace) {
    return pools.containsKey(workspace) && pools.get(workspace).hasTokens();
  }

  void lapse(MonotonicTime now, MonotonicTime resumedAt) {
    pools.values().forEach(pool -> pool.lapse(now, resumedAt));
  }

  /** Returns the rows that the next verification should show. */
  RowDemand rows(MonotonicTime now) {
    boolean urgent =
        inFlight == null && pools.values().stream().anyMatch(pool -> pool.isUrgent(now));
    return new RowDemand(
        active(now).stream().map(RateRow::key).collect(Collectors.toSet()), urgent);
  }

  /** Returns the hosts that take tokens of the workspaces in use here, this one included. */
  int hosts(Blackboard blackboard) {
    Map<WorkspaceId, RateLimit> limits = blackboard.get(EngineEntries.CONFIGURATION).limits();
    return pools.keySet().stream()
        .filter(limits::containsKey)
        .mapToInt(workspace -> row(blackboard, workspace, limits.get(workspace), 0).hosts())
        .reduce(1, Math::max);
  }

  /** Takes tokens if they are needed and the rows have just been shown. */
  void ask(Blackboard blackboard, RoundContext context) {
    MonotonicTime now = context.now();
    if (startedAt.isEmpty()) {
      startedAt = Optional.of(now);
    }
    if (inFlight != null && now.since(inFlight.startedAt()).compareTo(OVERDUE) > 0) {
      inFlight = null;
    }
    boolean rowsAreFresh =
        blackboard
            .observations(TransactionAnswered.class)
            .filter(
                answer ->
                    answer.transaction().tag().purpose().equals(VerificationController.PURPOSE))
            .anyMatch(answer -> answer.time().isPresent());
    boolean needs = pools.values().stream().anyMatch(pool -> pool.mustAsk(now));
    if (inFlight == null && rowsAreFresh && needs) {
      ask(blackboard, now, 1, active(now));
    }
  }

  /** Returns the workspaces that need tokens here, those that asked longest ago first. */
  private Set<WorkspaceId> active(MonotonicTime now) {
    return pools.entrySet().stream()
        .filter(entry -> entry.getValue().isActive(now))
        .sorted(Map.Entry.comparingByValue(Comparator.comparing(TokenPool::lastAsked)))
        .limit(MOST_ROWS)
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  private void ask(Blackboard blackboard, MonotonicTime now, int attempt, Set<WorkspaceId> asking) {
    Optional<StoreTime> time = blackboard.get(EngineEntries.STORE_TIME);
    if (time.isEmpty()) {
      return;
    }
    Map<WorkspaceId, RateLimit> limits = blackboard.get(EngineEntries.CONFIGURATION).limits();
    Map<RowKey, Long> expected = Expectations.verifying(blackboard);
    Map<RowKey, String> writes = new HashMap<>();
    Map<WorkspaceId, Taking> takings = new HashMap<>();
    asking.stream()
        .filter(limits::containsKey)
        .forEach(
            workspace -> {
              RowKey key = RateRow.key(workspace);
              Taking taking = take(blackboard, workspace, limits.get(workspace), time.get(), now);
              expected.put(key, Expectations.version(blackboard, key));
              writes.put(key, taking.row().text());
              takings.put(workspace, taking);
            });
    if (takings.isEmpty()) {
      return;
    }
    serial++;
    inFlight = new Attempt(serial, attempt, now, takings);
    blackboard.submit(new RunTransaction(TransactionTag.of(PURPOSE, serial), expected, writes));
  }

  private static RateRow row(
      Blackboard blackboard, WorkspaceId workspace, RateLimit limit, long storeMillis) {
    String text = Expectations.known(blackboard, RateRow.key(workspace)).value();
    return RateRow.parse(text, limit, storeMillis);
  }

  private Taking take(
      Blackboard blackboard,
      WorkspaceId workspace,
      RateLimit limit,
      StoreTime time,
      MonotonicTime now) {
    TokenPool pool = pools.get(workspace);
    pool.asking(now);
    long storeMillis = time.earliest(time.receivedAt());
    double capacity = RateRow.capacity(limit, settings);
    RateRow shown = row(blackboard, workspace, limit, storeMillis);
    inherit(pool, shown, now);
    long held = pool.held() + pool.inherited();
    RateRow row =
        shown.refilled(limit, settings, settings.host(), storeMillis).capped(capacity, held);
    long available = (long) Math.floor(row.tokens());
    int takers = 1 + row.takers();
    long wanted = pool.wanted((long) (capacity * READY_PART / takers), now);
    double demand = pool.demand(now);
    double allDemand = row.demand(storeMillis) + demand;
    double share = allDemand > 0 ? demand / allDemand : 1.0 / takers;
    long fair = available > wanted * 2 ? available : Math.max(1, (long) (available * share));
    long taken = Math.min(wanted, Math.min(available, fair));
    boolean scarce = available < wanted && allDemand > limit.perSecond();
    RateRow after =
        row.taken(
            settings.host(),
            taken,
            new RateRow.Holding(held + taken, time.latest(now), pool.hosts(now), demand));
    return new Taking(taken, scarce, after);
  }

  /** Hosts may still spend what the last process here has lent, until its loans have lapsed. */
  private void inherit(TokenPool pool, RateRow shown, MonotonicTime now) {
    boolean isYoung =
        startedAt.filter(at -> now.since(at).compareTo(TokenPool.LOAN_VALID) < 0).isPresent();
    if (!isYoung) {
      pool.inherit(0);
    } else if (pool.isNew()) {
      pool.inherit(shown.tokensOf(settings.host()));
    }
  }

  /** Takes over the answers of the store. */
  void finish(Blackboard blackboard, MonotonicTime now) {
    blackboard
        .observations(TransactionAnswered.class)
        .filter(answer -> answer.transaction().tag().purpose().equals(PURPOSE))
        .filter(
            answer -> inFlight != null && answer.transaction().tag().serial() == inFlight.serial())
        .forEach(answer -> finish(blackboard, answer, now));
  }

  private void finish(Blackboard blackboard, TransactionAnswered answer, MonotonicTime now) {
    Attempt ended = inFlight;
    inFlight = null;
    if (answer.result() == TransactionResult.CONFLICT && ended.attempt() < ATTEMPTS) {
      ask(blackboard, now, ended.attempt() + 1, ended.takings().keySet());
      return;
    }
    if (answer.result() == TransactionResult.APPLIED) {
      ended.takings().forEach((workspace, taking) -> grant(workspace, taking, ended.startedAt()));
    }
  }

  private void grant(WorkspaceId workspace, Taking taking, MonotonicTime startedAt) {
    pools
        .get(workspace)
        .grant(
            taking.tokens(), taking.scarce(), startedAt, Duration.ofMillis(RateRow.VALID_MILLIS));
    if (taking.scarce()) {
      log.write(
          "tokens-scarce",
          "workspace",
          workspace,
          "taken",
          taking.tokens(),
          "left",
          taking.row().tokens());
    }
  }

  private record Taking(long tokens, boolean scarce, RateRow row) {}

  private record Attempt(
      long serial, int attempt, MonotonicTime startedAt, Map<WorkspaceId, Taking> takings) {}
}
