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
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.RateLimit;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.RowDemand;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.StoreTime;
import org.persimmonwalk.engine.control.TokenGrant;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionResult;
import org.persimmonwalk.engine.control.TransactionTag;
import org.persimmonwalk.engine.control.WorkspaceDemand;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Takes tokens for the operations of workspaces from the rows that all hosts share; owns the tokens
 * entry.
 */
public final class RateController implements Controller {
  /**
   * Hosts that change the same rows at once conflict; a host that gives up has no token for a
   * second. With 3 attempts a small workspace on 15 hosts was refused now and then.
   */
  static final int ATTEMPTS = 8;

  /**
   * The part of the capacity that the hosts with sessions of a workspace hold in equal parts even
   * without demand, so that operations are admitted at once, also while the store is away. The rest
   * serves hosts with more demand than others.
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
  private final Map<WorkspaceId, WorkspaceTokens> workspaces = new TreeMap<>();
  private long serial;
  private Attempt inFlight;

  private RateController(EngineSettings settings, DecisionLog log) {
    this.settings = settings;
    this.log = log;
  }

  /** Returns a controller that holds no tokens. */
  public static RateController create(EngineSettings settings, DecisionLog log) {
    return new RateController(settings, log);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    MonotonicTime now = context.now();
    blackboard
        .observations(WorkspaceDemand.class)
        .forEach(
            seen ->
                workspaces
                    .computeIfAbsent(seen.workspace(), unused -> new WorkspaceTokens(now))
                    .note(seen, now));
    blackboard
        .observations(TransactionAnswered.class)
        .filter(answer -> answer.transaction().tag().purpose().equals(PURPOSE))
        .filter(
            answer -> inFlight != null && answer.transaction().tag().serial() == inFlight.serial())
        .forEach(answer -> finish(blackboard, answer, now));
    workspaces.values().forEach(tokens -> tokens.lapse(now));
    boolean rowsAreFresh =
        blackboard
            .observations(TransactionAnswered.class)
            .filter(
                answer ->
                    answer.transaction().tag().purpose().equals(VerificationController.PURPOSE))
            .anyMatch(answer -> answer.time().isPresent());
    if (inFlight != null && now.since(inFlight.startedAt()).compareTo(OVERDUE) > 0) {
      inFlight = null;
    }
    boolean needs = workspaces.values().stream().anyMatch(tokens -> tokens.mustAsk(now));
    if (inFlight == null && rowsAreFresh && needs) {
      ask(blackboard, now, 1, active(now));
    }
    blackboard.put(
        EngineEntries.ROW_DEMAND,
        new RowDemand(
            active(now).stream().map(RateRow::key).collect(Collectors.toSet()),
            inFlight == null
                && workspaces.values().stream().anyMatch(tokens -> tokens.isUrgent(now))));
    publish(blackboard);
  }

  private void publish(Blackboard blackboard) {
    Map<WorkspaceId, TokenGrant> grants = new HashMap<>();
    workspaces.forEach((workspace, tokens) -> grants.put(workspace, tokens.published()));
    int hosts = 1;
    for (WorkspaceId workspace : workspaces.keySet()) {
      String text = Expectations.known(blackboard, RateRow.key(workspace)).value();
      hosts = Math.max(hosts, RateRow.holders(text));
    }
    blackboard.put(EngineEntries.ACTIVE_HOSTS, hosts);
    if (!grants.equals(blackboard.get(EngineEntries.TOKENS))) {
      blackboard.put(EngineEntries.TOKENS, Map.copyOf(grants));
    }
  }

  /** Returns the workspaces that need tokens here, those that asked longest ago first. */
  private Set<WorkspaceId> active(MonotonicTime now) {
    return workspaces.entrySet().stream()
        .filter(entry -> entry.getValue().isActive(now))
        .sorted(Map.Entry.comparingByValue(Comparator.comparing(WorkspaceTokens::lastAsked)))
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
              RateLimit limit = limits.get(workspace);
              RowKey key = RateRow.key(workspace);
              Taking taking = take(blackboard, workspace, limit, time.get(), now);
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

  private Taking take(
      Blackboard blackboard,
      WorkspaceId workspace,
      RateLimit limit,
      StoreTime time,
      MonotonicTime now) {
    WorkspaceTokens tokens = workspaces.get(workspace);
    long storeMillis = time.earliest(time.receivedAt());
    String text = Expectations.known(blackboard, RateRow.key(workspace)).value();
    long held = tokens.left();
    RateRow row =
        RateRow.parse(text, limit, storeMillis)
            .refilled(limit, settings, settings.host(), storeMillis)
            .capped(RateRow.capacity(limit, settings), held);
    long available = (long) Math.floor(row.tokens());
    int holders = Math.max(1, RateRow.holders(text));
    long even = (long) (RateRow.capacity(limit, settings) * READY_PART / holders);
    long target = Math.max(tokens.target(now), even);
    long wanted = Math.max(0, target - held);
    long fair = available > wanted * 2 ? available : Math.max(1, available / 2);
    long taken = Math.min(wanted, Math.min(available, fair));
    boolean scarce = taken < wanted && tokens.exceeds(limit.perSecond() / holders, now);
    return new Taking(taken, scarce, row.taken(settings.host(), taken, held, time.latest(now)));
  }

  private void finish(Blackboard blackboard, TransactionAnswered answer, MonotonicTime now) {
    Attempt ended = inFlight;
    inFlight = null;
    if (answer.result() == TransactionResult.CONFLICT && ended.attempt() < ATTEMPTS) {
      ask(blackboard, now, ended.attempt() + 1, ended.takings().keySet());
      return;
    }
    ended
        .takings()
        .forEach(
            (workspace, taking) -> {
              WorkspaceTokens tokens = workspaces.get(workspace);
              tokens.asked(ended.startedAt());
              if (answer.result() == TransactionResult.APPLIED) {
                grant(workspace, tokens, taking, ended.startedAt());
              }
            });
  }

  private void grant(
      WorkspaceId workspace, WorkspaceTokens tokens, Taking taking, MonotonicTime startedAt) {
    tokens.lapse(startedAt);
    tokens.grant(taking.tokens(), taking.scarce(), startedAt);
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
