package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Inputs;
import org.persimmonwalk.blackboard.NextRun;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.RememberedRows;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.StoreTime;
import org.persimmonwalk.engine.control.StoreVersion;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionResult;
import org.persimmonwalk.engine.control.TransactionTag;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Settles a new era of the store in one transaction: writes again which servers are the primaries,
 * announces a replacement where that isn't known, blocks the promotion lease until no earlier
 * holder can order anything, and records that the era is settled. Until then no host promotes or
 * takes tokens.
 */
public final class EraSettlementController implements Controller {
  /** Spreads the hosts, since all but one waste their call. */
  static final Duration JITTER = Duration.ofMillis(100);

  /** The relays come first: the other hosts learn from them that the era is settled. */
  static final Duration CLIENT_DELAY = Duration.ofMillis(700);

  /**
   * A host that doesn't know all primaries leaves the settlement to one that does. After a longer
   * outage no host does, and each group then waits for this time too.
   */
  static final Duration UNKNOWING_DELAY = Duration.ofMillis(500);

  static final Duration RETRY_PAUSE = Duration.ofMillis(400);

  /** Covers an answer that is lost inside this process; each call has its own timeout. */
  static final Duration LOST_ANSWER_TIMEOUT = Duration.ofMillis(5000);

  static final String PURPOSE = "settle-era";

  private final EngineSettings settings;
  private final DecisionLog log;
  private Optional<MonotonicTime> dueAt = Optional.empty();
  private Optional<MonotonicTime> sentAt = Optional.empty();
  private StoreEra dueFor = StoreEra.UNKNOWN;
  private long serial;

  private EraSettlementController(EngineSettings settings, DecisionLog log) {
    this.settings = settings;
    this.log = log;
  }

  /** Returns a controller that has settled no era. */
  public static EraSettlementController create(EngineSettings settings, DecisionLog log) {
    return new EraSettlementController(settings, log);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    MonotonicTime now = context.now();
    blackboard
        .observations(TransactionAnswered.class)
        .filter(answer -> answer.transaction().tag().purpose().equals(PURPOSE))
        .filter(answer -> answer.transaction().tag().serial() == serial)
        .forEach(answer -> handleAnswer(answer, now));
    boolean isVerified = blackboard.get(EngineEntries.VERIFIED_AT).isPresent();
    if (!isVerified
        || StoreEraRow.isSettled(blackboard)
        || blackboard.get(EngineEntries.STOPPING)) {
      dueAt = Optional.empty();
      return;
    }
    StoreEra era = blackboard.get(EngineEntries.STORE_ERA);
    if (dueAt.isEmpty() || !dueFor.equals(era)) {
      dueAt = Optional.of(now.plus(delay(blackboard, context)));
      dueFor = era;
    }
    boolean isPending =
        sentAt.filter(at -> now.since(at).compareTo(LOST_ANSWER_TIMEOUT) < 0).isPresent();
    Optional<StoreTime> time = blackboard.get(EngineEntries.STORE_TIME);
    if (!isPending && !now.isBefore(dueAt.get()) && time.isPresent()) {
      settle(blackboard, time.get().latest(now), now);
    }
  }

  @Override
  public Optional<Inputs> inputs() {
    return Optional.of(
        Inputs.ofObservations(TransactionAnswered.class)
            .andEntries(
                EngineEntries.VERIFIED_AT,
                EngineEntries.STORE_ERA,
                EngineEntries.STORE_ROWS,
                EngineEntries.REMEMBERED_ROWS,
                EngineEntries.STOPPING));
  }

  @Override
  public NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
    return dueAt.isPresent() ? NextRun.inNextRound(now) : NextRun.onInput();
  }

  private void handleAnswer(TransactionAnswered answer, MonotonicTime now) {
    sentAt = Optional.empty();
    if (answer.result() == TransactionResult.APPLIED) {
      log.write("store-era-settled", "era", answer.era(), "rows", answer.rows().keySet());
    } else if (answer.result() != TransactionResult.CONFLICT) {
      dueAt = Optional.of(now.plus(RETRY_PAUSE));
    }
  }

  private Duration delay(Blackboard blackboard, RoundContext context) {
    Duration jitter = Duration.ofMillis(context.random().nextInt((int) JITTER.toMillis()));
    boolean isClient = blackboard.get(EngineEntries.RELAY_ROLE).isClient();
    boolean knowsAll =
        StoreEraRow.isFirstUse(blackboard)
            || blackboard
                .get(EngineEntries.REMEMBERED_ROWS)
                .verifiedGroups()
                .containsAll(groups(blackboard));
    return jitter
        .plus(isClient ? CLIENT_DELAY : Duration.ZERO)
        .plus(knowsAll ? Duration.ZERO : UNKNOWING_DELAY);
  }

  private static Set<DatabaseGroupId> groups(Blackboard blackboard) {
    return blackboard.get(EngineEntries.CONFIGURATION).groups().keySet();
  }

  private void settle(Blackboard blackboard, long storeMillis, MonotonicTime now) {
    StoreEra era = blackboard.get(EngineEntries.STORE_ERA);
    Map<RowKey, StoreVersion> expected = KnownRows.versionsToVerify(blackboard);
    Map<RowKey, String> writes = new HashMap<>();
    writes.put(StoreEraRow.ROW, new StoreEraRow(era, previousEra(blackboard), storeMillis).text());
    if (!StoreEraRow.isFirstUse(blackboard)) {
      expected.put(PromotionLease.ROW, KnownRows.version(blackboard, PromotionLease.ROW));
      writes.put(
          PromotionLease.ROW, PromotionLease.blocked(settings.host(), era, storeMillis).text());
      List<DatabaseGroupId> moved = new ArrayList<>();
      groups(blackboard).forEach(group -> writeAgain(blackboard, group, expected, writes, moved));
      log.write("store-era-settling", "era", era, "primariesUnknown", moved);
    }
    serial++;
    sentAt = Optional.of(now);
    blackboard.submit(new RunTransaction(TransactionTag.of(PURPOSE, serial), expected, writes));
  }

  private static StoreEra previousEra(Blackboard blackboard) {
    return StoreEraRow.isFirstUse(blackboard)
        ? StoreEra.UNKNOWN
        : StoreEraRow.of(blackboard)
            .map(StoreEraRow::era)
            .filter(StoreEra::isKnown)
            .orElse(StoreEra.FIRST);
  }

  /** Writes the leadership of a group again, or announces its replacement. */
  private static void writeAgain(
      Blackboard blackboard,
      DatabaseGroupId group,
      Map<RowKey, StoreVersion> expected,
      Map<RowKey, String> writes,
      List<DatabaseGroupId> moved) {
    RowKey key = Leadership.row(group);
    Optional<StoredRow> inForce = LeadershipInForce.of(blackboard, group);
    if (inForce.isPresent()) {
      if (!inForce.get().equals(KnownRows.row(blackboard, key))) {
        writes.put(key, inForce.get().value());
      }
      return;
    }
    moved.add(group);
    writes.put(key, Leadership.moving(LeadershipInForce.newest(blackboard, group)).text());
    RowKey recordKey = PromotionRecord.row(group);
    RememberedRows remembered = blackboard.get(EngineEntries.REMEMBERED_ROWS);
    PromotionRecord stored = PromotionRecord.parse(KnownRows.row(blackboard, recordKey));
    PromotionRecord known = PromotionRecord.parse(remembered.row(recordKey));
    expected.put(recordKey, KnownRows.version(blackboard, recordKey));
    writes.put(recordKey, stored.afterReturn(known).text());
  }
}
