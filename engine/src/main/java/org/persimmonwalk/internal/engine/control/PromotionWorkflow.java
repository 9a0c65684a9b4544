package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.SuspensionDetector;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.OrderPromotion;
import org.persimmonwalk.engine.control.PromotionOrderAnswered;
import org.persimmonwalk.engine.control.ReadServerStatus;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.ServerStatusRead;
import org.persimmonwalk.engine.control.ServerStatusRead.Status;
import org.persimmonwalk.engine.control.StoreTime;
import org.persimmonwalk.engine.control.StoreVersion;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionResult;
import org.persimmonwalk.engine.control.TransactionTag;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Replaces the primary of one group, step by step: take the promotion lease, poll the status of the
 * servers, order the promotion, wait until the new primary confirms its role, record it in the
 * leadership row.
 */
final class PromotionWorkflow {
  /**
   * How long to wait for the status of all servers. Servers in other zones answer within a few
   * milliseconds, but a busy one may queue the request.
   */
  static final Duration STATUS_TIMEOUT = Duration.ofMillis(300);

  static final Duration RETRY_PAUSE = Duration.ofMillis(80);

  static final Duration CONFIRMATION_INTERVAL = Duration.ofMillis(120);

  /**
   * A promotion takes some hundred milliseconds; one that isn't confirmed by then is ordered again.
   */
  static final Duration CONFIRMATION_TIMEOUT = Duration.ofMillis(3000);

  private static final String TAKE_LEASE_PURPOSE = "take-duty";
  private static final String ANNOUNCE_ORDER_PURPOSE = "announce-order";
  private static final String RECORD_PURPOSE = "record-primary";

  private final EngineSettings settings;
  private final DecisionLog log;
  private final SuspensionDetector suspension;
  private final Map<BackendServerId, Optional<Status>> statuses = new HashMap<>();
  private final LapsedServers lapsedServers = new LapsedServers();
  private Stage stage = Stage.IDLE;
  private PromotedGroup group;
  private Leadership leadership;
  private StoreVersion leadershipVersion;
  private HeldLease lease;
  private long serial;
  private long pendingSerial;
  private MonotonicTime begunAt;
  private MonotonicTime stageSince;
  private MonotonicTime nextStepAt;
  private ServerEntry target;
  private PromotionDecision lastDecision;
  private long targetTerm;

  /** The newest term before the order; the promoted server leads a newer one. */
  private long newestTerm;

  private Optional<BackendServerId> lastRecorded = Optional.empty();
  private int requestCount;
  private MonotonicTime statusesRequestedAt;

  private enum Stage {
    IDLE,
    TAKE_LEASE,
    POLL_STATUSES,
    ANNOUNCE_ORDER,
    ORDERED,
    CONFIRM,
    RECORD
  }

  private PromotionWorkflow(
      EngineSettings settings, DecisionLog log, SuspensionDetector suspension) {
    this.suspension = suspension;
    this.settings = settings;
    this.log = log;
  }

  static PromotionWorkflow create(
      EngineSettings settings, DecisionLog log, SuspensionDetector suspension) {
    return new PromotionWorkflow(settings, log, suspension);
  }

  boolean isIdle() {
    return stage == Stage.IDLE;
  }

  /** Returns whether this host promoted the server last. */
  boolean hasRecorded(BackendServerId server) {
    return lastRecorded.filter(server::equals).isPresent();
  }

  void begin(
      DatabaseGroupId newGroup, Leadership newLeadership, StoreVersion version, MonotonicTime now) {
    group = new PromotedGroup(newGroup);
    leadership = newLeadership;
    leadershipVersion = version;
    pendingSerial = 0;
    begunAt = now;
    lastDecision = null;
    enter(Stage.TAKE_LEASE, now);
    log.write(
        "promotion-started",
        "group",
        group.id(),
        "old",
        leadership.server(),
        "rowVersion",
        version);
  }

  void run(Blackboard blackboard, MonotonicTime now) {
    lapsedServers.update(blackboard.get(EngineEntries.SERVERS), now);
    if (stage == Stage.IDLE) {
      return;
    }
    if (!KnownRows.version(blackboard, Leadership.row(group.id())).equals(leadershipVersion)) {
      end("the leadership row changed");
      return;
    }
    Optional<String> obstacle = obstacle(blackboard, group, now);
    if (stage == Stage.POLL_STATUSES && obstacle.isPresent()) {
      end(obstacle.get());
      return;
    }
    blackboard
        .observations(TransactionAnswered.class)
        .filter(answer -> answer.transaction().tag().serial() == pendingSerial)
        .filter(answer -> isOwn(answer.transaction().tag()))
        .forEach(answer -> handleTransactionAnswer(answer, now));
    blackboard
        .observations(ServerStatusRead.class)
        .forEach(read -> statuses.put(read.server(), read.status()));
    blackboard
        .observations(PromotionOrderAnswered.class)
        .filter(answer -> stage == Stage.ORDERED && answer.server().equals(target.id()))
        .forEach(answer -> handleOrderAnswer(answer, now));
    step(blackboard, now);
  }

  private void end(String reason) {
    log.write("promotion-ended", "group", group.id(), "reason", reason);
    stage = Stage.IDLE;
  }

  Optional<String> obstacle(Blackboard blackboard, PromotedGroup asked, MonotonicTime now) {
    return asked.obstacle(blackboard, settings, suspension.lastResumedAt(), now);
  }

  private static boolean isOwn(TransactionTag tag) {
    return Set.of(TAKE_LEASE_PURPOSE, ANNOUNCE_ORDER_PURPOSE, RECORD_PURPOSE)
        .contains(tag.purpose());
  }

  private void handleTransactionAnswer(TransactionAnswered answer, MonotonicTime now) {
    pendingSerial = 0;
    TransactionResult result = answer.result();
    StoredRow leaseRow = answer.rows().get(PromotionLease.ROW);
    if (result == TransactionResult.APPLIED) {
      if (stage == Stage.TAKE_LEASE) {
        lease = lease.written(leaseRow.version());
        log.write("duty-taken", "group", group.id(), "fence", lease.fencingToken());
        enter(Stage.POLL_STATUSES, now);
      }
    } else if (result != TransactionResult.CONFLICT) {
      nextStepAt = now.plus(STATUS_TIMEOUT);
    } else if (stage != Stage.TAKE_LEASE && !leaseRow.version().equals(lease.rowVersion())) {
      log.write(
          "duty-lost",
          "group",
          group.id(),
          "fence",
          lease.fencingToken(),
          "rowVersion",
          leaseRow.version(),
          "lease",
          leaseRow.value());
      enter(Stage.TAKE_LEASE, now);
    }
  }

  private void handleOrderAnswer(PromotionOrderAnswered answer, MonotonicTime now) {
    log.write("promotion-ordered", "server", target.id(), "accepted", answer.accepted());
    enter(answer.accepted() ? Stage.CONFIRM : Stage.POLL_STATUSES, now);
    nextStepAt = answer.accepted() ? now : now.plus(RETRY_PAUSE);
  }

  private void enter(Stage next, MonotonicTime now) {
    stage = next;
    stageSince = now;
    nextStepAt = now;
    statuses.clear();
    requestCount = 0;
  }

  private void step(Blackboard blackboard, MonotonicTime now) {
    if (now.isBefore(nextStepAt) || pendingSerial != 0) {
      return;
    }
    switch (stage) {
      case TAKE_LEASE -> takeLease(blackboard, now);
      case POLL_STATUSES -> pollStatuses(blackboard, now);
      case ANNOUNCE_ORDER -> order(blackboard, now);
      case CONFIRM -> confirm(now, blackboard);
      case RECORD -> record(blackboard, now);
      case ORDERED -> {
        if (now.since(stageSince).compareTo(HeldLease.DURATION) > 0) {
          enter(Stage.TAKE_LEASE, now);
        }
      }
      default -> {}
    }
  }

  private void takeLease(Blackboard blackboard, MonotonicTime now) {
    Optional<StoreTime> time = blackboard.get(EngineEntries.STORE_TIME);
    StoredRow row = KnownRows.row(blackboard, PromotionLease.ROW);
    if (time.isEmpty() || !PromotionLease.isFree(row, time.get().earliest(now))) {
      nextStepAt = now.plus(RETRY_PAUSE);
      return;
    }
    logIfUnreadable(PromotionLease.ROW, row, PromotionLease.isUnreadable(row));
    StoredRow recordRow = KnownRows.row(blackboard, PromotionRecord.row(group.id()));
    logIfUnreadable(
        PromotionRecord.row(group.id()), recordRow, PromotionRecord.isUnreadable(recordRow));
    lease = new HeldLease(PromotionLease.nextFencingToken(row), row.version(), now);
    long end = time.get().latest(now) + HeldLease.DURATION.toMillis();
    PromotionLease taken = new PromotionLease(settings.host(), lease.fencingToken(), end);
    submit(blackboard, TAKE_LEASE_PURPOSE, Map.of(PromotionLease.ROW, taken.text()));
  }

  private void logIfUnreadable(RowKey key, StoredRow row, boolean isUnreadable) {
    if (isUnreadable) {
      log.write("row-unreadable", "row", key, "rowVersion", row.version());
    }
  }

  private void submit(Blackboard blackboard, String purpose, Map<RowKey, String> writes) {
    Map<RowKey, StoreVersion> expected = KnownRows.versionsToVerify(blackboard);
    expected.put(PromotionLease.ROW, lease.rowVersion());
    RowKey recordRow = PromotionRecord.row(group.id());
    expected.put(recordRow, KnownRows.version(blackboard, recordRow));
    serial++;
    pendingSerial = serial;
    blackboard.submit(new RunTransaction(TransactionTag.of(purpose, serial), expected, writes));
  }

  private void pollStatuses(Blackboard blackboard, MonotonicTime now) {
    Map<BackendServerId, ServerEntry> listed = group.members(blackboard);
    Map<BackendServerId, ServerEntry> lapsed =
        group.synchronousReplicas(blackboard) > 0
            ? lapsedServers.of(group.id(), leadership.server())
            : Map.of();
    if (requestCount == 0) {
      listed.values().forEach(entry -> blackboard.submit(new ReadServerStatus(entry)));
      lapsed.values().forEach(entry -> blackboard.submit(new ReadServerStatus(entry)));
      requestCount = listed.size() + lapsed.size();
      nextStepAt = now.plus(Duration.ofMillis(1));
      statusesRequestedAt = now;
      return;
    }
    boolean complete =
        statuses.keySet().containsAll(listed.keySet())
            && statuses.keySet().containsAll(lapsed.keySet());
    if (!complete && now.since(statusesRequestedAt).compareTo(STATUS_TIMEOUT) < 0) {
      nextStepAt = now.plus(Duration.ofMillis(1));
      return;
    }
    decide(blackboard, group.poll(blackboard, listed, lapsed, statuses, leadership.server()), now);
  }

  private void decide(Blackboard blackboard, StatusPoll poll, MonotonicTime now) {
    PromotionDecision decision =
        PromotionDecision.of(
            poll,
            new PromotionDecision.Circumstances(
                leadership.phase() == Leadership.Phase.SWITCHING,
                leadershipVersion.number(),
                group.record(blackboard),
                group.synchronousReplicas(blackboard),
                now.since(stageSince),
                now.since(begunAt)));
    if (!decision.equals(lastDecision)) {
      lastDecision = decision;
      decision.write(log, group.id(), poll);
    }
    switch (decision.action()) {
      case RECORD -> {
        target = decision.server().orElseThrow();
        targetTerm = statuses.get(target.id()).orElseThrow().term();
        enter(Stage.RECORD, now);
      }
      case ORDER -> {
        target = decision.server().orElseThrow();
        newestTerm = poll.newestTerm();
        enter(Stage.ANNOUNCE_ORDER, now);
        order(blackboard, now);
      }
      default -> {
        statuses.clear();
        requestCount = 0;
        nextStepAt = now.plus(group.statusPause(blackboard, poll.servers().keySet(), RETRY_PAUSE));
        if (lease.isTooOldToOrder(now)) {
          enter(Stage.TAKE_LEASE, now);
        }
      }
    }
  }

  /**
   * Orders the promotion. Before that it writes down that it will: an order without an answer may
   * still take effect, which this host and the next holder of the lease have to know.
   */
  private void order(Blackboard blackboard, MonotonicTime now) {
    OrderPromotion order = lease.order(target, settings.host());
    if (!order.maySend(now, suspension.lastResumedAt())) {
      enter(Stage.TAKE_LEASE, now);
      return;
    }
    PromotionRecord record = group.record(blackboard);
    if (record.isOrdered(leadershipVersion.number(), target)) {
      enter(Stage.ORDERED, now);
      blackboard.submit(order);
      return;
    }
    submit(
        blackboard,
        ANNOUNCE_ORDER_PURPOSE,
        Map.of(
            PromotionRecord.row(group.id()),
            record.ordered(leadershipVersion.number(), target).text()));
  }

  private void confirm(MonotonicTime now, Blackboard blackboard) {
    Optional<Status> status = statuses.getOrDefault(target.id(), Optional.empty());
    // A primary of an older term that is promoted calls itself primary before it is one again.
    if (status.filter(Status::primary).filter(answer -> answer.term() > newestTerm).isPresent()) {
      targetTerm = status.get().term();
      enter(Stage.RECORD, now);
      return;
    }
    if (now.since(stageSince).compareTo(CONFIRMATION_TIMEOUT) > 0) {
      enter(Stage.TAKE_LEASE, now);
      return;
    }
    blackboard.submit(new ReadServerStatus(target));
    nextStepAt =
        now.plus(group.statusPause(blackboard, Set.of(target.id()), CONFIRMATION_INTERVAL));
  }

  private void record(Blackboard blackboard, MonotonicTime now) {
    Leadership recorded =
        target.draining() ? Leadership.promotedForItsLog(target) : Leadership.stable(target);
    log.write(
        "primary-recorded",
        "group",
        group.id(),
        "server",
        target.id(),
        "fence",
        lease.fencingToken(),
        "draining",
        target.draining());
    lastRecorded = Optional.of(target.id());
    PromotionLease free = new PromotionLease(settings.host(), lease.fencingToken(), 0);
    Map<RowKey, String> writes = new HashMap<>();
    writes.put(Leadership.row(group.id()), recorded.text());
    writes.put(PromotionRecord.row(group.id()), PromotionRecord.recorded(targetTerm).text());
    if (!lease.hasExpired(now)) {
      writes.put(PromotionLease.ROW, free.text());
    }
    submit(blackboard, RECORD_PURPOSE, writes);
  }
}
