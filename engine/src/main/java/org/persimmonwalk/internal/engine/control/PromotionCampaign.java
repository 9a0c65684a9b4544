package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.GroupSettings;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.SuspensionDetector;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.OrderPromotion;
import org.persimmonwalk.engine.control.PromotionOrdered;
import org.persimmonwalk.engine.control.ReadServerStatus;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.ServerStatusRead;
import org.persimmonwalk.engine.control.StoreTime;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionResult;
import org.persimmonwalk.engine.control.TransactionTag;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The steps of one replacement: take the duty, survey the servers, order the promotion, wait until
 * the new primary leads, record it.
 */
final class PromotionCampaign {
  /** The duty lapses after this time unless it is given back. */
  static final Duration LEASE = Duration.ofMillis(3500);

  /**
   * The order must be sent within this time of taking the duty, so that a promotion has taken
   * effect (some hundred milliseconds) before another host may hold the duty.
   */
  static final Duration ORDER_LIMIT = Duration.ofMillis(1500);

  /** Servers in other zones answer within a few milliseconds; a busy one may queue the question. */
  static final Duration SURVEY = Duration.ofMillis(300);

  static final Duration SURVEY_REPEAT = Duration.ofMillis(80);

  /** How long a planned replacement waits for a replica to have the whole log. */
  static final Duration CATCH_UP = Duration.ofMillis(800);

  static final Duration CONFIRMATION_INTERVAL = Duration.ofMillis(120);

  /** A promotion takes some hundred milliseconds; without effect by then it is ordered again. */
  static final Duration CONFIRMATION_LIMIT = Duration.ofMillis(3000);

  private static final String DUTY = "take-duty";
  private static final String RECORD = "record-primary";

  private final EngineSettings settings;
  private final DecisionLog log;
  private final SuspensionDetector suspension;
  private final Map<BackendServerId, Optional<ServerStatusRead.Status>> answers = new HashMap<>();
  private Stage stage = Stage.IDLE;
  private DatabaseGroupId group;
  private Leadership row;
  private long rowVersion;
  private long fence;
  private long serial;
  private long waitingFor;
  private MonotonicTime dutyTakenAt;
  private MonotonicTime stageSince;
  private MonotonicTime nextStep;
  private ServerEntry target;
  private int asked;
  private MonotonicTime surveyStarted;

  private enum Stage {
    IDLE,
    DUTY,
    SURVEY,
    ORDERED,
    CONFIRM,
    RECORD
  }

  private PromotionCampaign(
      EngineSettings settings, DecisionLog log, SuspensionDetector suspension) {
    this.suspension = suspension;
    this.settings = settings;
    this.log = log;
  }

  static PromotionCampaign create(
      EngineSettings settings, DecisionLog log, SuspensionDetector suspension) {
    return new PromotionCampaign(settings, log, suspension);
  }

  boolean isIdle() {
    return stage == Stage.IDLE;
  }

  void begin(DatabaseGroupId newGroup, Leadership leadership, long version, MonotonicTime now) {
    group = newGroup;
    row = leadership;
    rowVersion = version;
    waitingFor = 0;
    enter(Stage.DUTY, now);
    log.write("promotion-started", "group", group, "old", row.server(), "rowVersion", version);
  }

  void run(Blackboard blackboard, MonotonicTime now) {
    if (stage == Stage.IDLE) {
      return;
    }
    if (Expectations.version(blackboard, Leadership.row(group)) != rowVersion) {
      log.write("promotion-ended", "group", group, "reason", "the leadership row changed");
      stage = Stage.IDLE;
      return;
    }
    blackboard
        .observations(TransactionAnswered.class)
        .filter(answer -> answer.transaction().tag().serial() == waitingFor)
        .filter(answer -> isOwn(answer.transaction().tag()))
        .forEach(answer -> transactionEnded(answer.result(), now));
    blackboard
        .observations(ServerStatusRead.class)
        .forEach(read -> answers.put(read.server(), read.status()));
    blackboard
        .observations(PromotionOrdered.class)
        .filter(ordered -> stage == Stage.ORDERED && ordered.server().equals(target.id()))
        .forEach(ordered -> orderEnded(ordered, now));
    step(blackboard, now);
  }

  private static boolean isOwn(TransactionTag tag) {
    return tag.purpose().equals(DUTY) || tag.purpose().equals(RECORD);
  }

  private void transactionEnded(TransactionResult result, MonotonicTime now) {
    waitingFor = 0;
    if (result == TransactionResult.APPLIED) {
      if (stage == Stage.DUTY) {
        log.write("duty-taken", "group", group, "fence", fence);
        enter(Stage.SURVEY, now);
      }
    } else if (result != TransactionResult.CONFLICT) {
      nextStep = now.plus(SURVEY);
    }
  }

  private void orderEnded(PromotionOrdered ordered, MonotonicTime now) {
    log.write("promotion-ordered", "server", target.id(), "accepted", ordered.accepted());
    enter(ordered.accepted() ? Stage.CONFIRM : Stage.SURVEY, now);
  }

  private void enter(Stage next, MonotonicTime now) {
    stage = next;
    stageSince = now;
    nextStep = now;
    answers.clear();
    asked = 0;
  }

  private void step(Blackboard blackboard, MonotonicTime now) {
    if (now.isBefore(nextStep) || waitingFor != 0) {
      return;
    }
    switch (stage) {
      case DUTY -> takeDuty(blackboard, now);
      case SURVEY -> survey(blackboard, now);
      case CONFIRM -> confirm(now, blackboard);
      case RECORD -> record(blackboard, now);
      case ORDERED -> {
        if (now.since(stageSince).compareTo(LEASE) > 0) {
          enter(Stage.DUTY, now);
        }
      }
      default -> {}
    }
  }

  private void takeDuty(Blackboard blackboard, MonotonicTime now) {
    Optional<StoreTime> time = blackboard.get(EngineEntries.STORE_TIME);
    String duty = Expectations.known(blackboard, PromotionDuty.ROW).value();
    if (time.isEmpty() || !PromotionDuty.isFree(duty, time.get().earliest(now))) {
      nextStep = now.plus(SURVEY_REPEAT);
      return;
    }
    fence = PromotionDuty.nextFence(duty);
    dutyTakenAt = now;
    long end = time.get().latest(now) + LEASE.toMillis();
    PromotionDuty taken = new PromotionDuty(settings.host(), fence, end);
    submit(blackboard, DUTY, Map.of(PromotionDuty.ROW, taken.text()));
  }

  private void submit(Blackboard blackboard, String purpose, Map<RowKey, String> writes) {
    Map<RowKey, Long> expected = Expectations.verifying(blackboard);
    expected.put(PromotionDuty.ROW, Expectations.version(blackboard, PromotionDuty.ROW));
    serial++;
    waitingFor = serial;
    blackboard.submit(new RunTransaction(TransactionTag.of(purpose, serial), expected, writes));
  }

  private void survey(Blackboard blackboard, MonotonicTime now) {
    Map<BackendServerId, ServerEntry> servers = members(blackboard);
    if (asked == 0) {
      servers.values().forEach(entry -> blackboard.submit(new ReadServerStatus(entry)));
      asked = servers.size();
      nextStep = now.plus(Duration.ofMillis(1));
      surveyStarted = now;
      return;
    }
    boolean complete = answers.keySet().containsAll(servers.keySet());
    if (!complete && now.since(surveyStarted).compareTo(SURVEY) < 0) {
      nextStep = now.plus(Duration.ofMillis(1));
      return;
    }
    decide(blackboard, servers, now);
  }

  private void decide(
      Blackboard blackboard, Map<BackendServerId, ServerEntry> servers, MonotonicTime now) {
    boolean planned = row.phase() == Leadership.Phase.SWITCHING;
    int synchronous =
        Optional.ofNullable(blackboard.get(EngineEntries.CONFIGURATION).groups().get(group))
            .map(GroupSettings::synchronousReplicas)
            .orElse(0);
    Survey survey = Survey.of(servers, answers, row.server());
    Optional<ServerEntry> leader = survey.leader(planned);
    if (leader.isPresent()) {
      target = leader.get();
      enter(Stage.RECORD, now);
      return;
    }
    boolean waits = planned && survey.oldIsAhead() && now.since(stageSince).compareTo(CATCH_UP) < 0;
    Optional<ServerEntry> best = survey.mostAdvanced(synchronous);
    if (waits || best.isEmpty()) {
      answers.clear();
      asked = 0;
      nextStep = now.plus(SURVEY_REPEAT);
      if (now.since(dutyTakenAt).compareTo(ORDER_LIMIT) > 0) {
        enter(Stage.DUTY, now);
      }
      return;
    }
    order(blackboard, best.get(), now);
  }

  private void order(Blackboard blackboard, ServerEntry best, MonotonicTime now) {
    boolean suspended = dutyTakenAt.isBefore(suspension.lastResumedAt());
    if (suspended || now.since(dutyTakenAt).compareTo(ORDER_LIMIT) > 0) {
      enter(Stage.DUTY, now);
      return;
    }
    target = best;
    enter(Stage.ORDERED, now);
    blackboard.submit(new OrderPromotion(target, settings.host(), fence));
  }

  private void confirm(MonotonicTime now, Blackboard blackboard) {
    Optional<ServerStatusRead.Status> status = answers.getOrDefault(target.id(), Optional.empty());
    if (status.isPresent() && status.get().primary()) {
      enter(Stage.RECORD, now);
      return;
    }
    if (now.since(stageSince).compareTo(CONFIRMATION_LIMIT) > 0) {
      enter(Stage.DUTY, now);
      return;
    }
    blackboard.submit(new ReadServerStatus(target));
    nextStep = now.plus(CONFIRMATION_INTERVAL);
  }

  private void record(Blackboard blackboard, MonotonicTime now) {
    Leadership stable =
        new Leadership(Leadership.Phase.STABLE, target.id(), target.startedAtMillis(), 0);
    log.write("primary-recorded", "group", group, "server", target.id(), "fence", fence);
    PromotionDuty free = new PromotionDuty(settings.host(), fence, 0);
    Map<RowKey, String> writes = new HashMap<>();
    writes.put(Leadership.row(group), stable.text());
    if (now.since(dutyTakenAt).compareTo(LEASE) < 0) {
      writes.put(PromotionDuty.ROW, free.text());
    }
    submit(blackboard, RECORD, writes);
  }

  private Map<BackendServerId, ServerEntry> members(Blackboard blackboard) {
    Map<BackendServerId, ServerEntry> members = new HashMap<>();
    blackboard
        .get(EngineEntries.SERVERS)
        .forEach(
            (id, entry) -> {
              if (entry.group().equals(group) && (!entry.draining() || id.equals(row.server()))) {
                members.put(id, entry);
              }
            });
    return members;
  }
}
