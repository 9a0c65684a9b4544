package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Inputs;
import org.persimmonwalk.blackboard.NextRun;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.SuspensionDetector;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.control.PromotionOrderAnswered;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.ServerStatusRead;
import org.persimmonwalk.engine.control.StoreTime;
import org.persimmonwalk.engine.control.StoreVersion;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionResult;
import org.persimmonwalk.engine.control.TransactionTag;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Announces in the leadership row that a primary will be replaced and, once no host can still use
 * the old primary, runs the promotion. Any host may do either step; conditional writes to the store
 * ensure that one host does each.
 */
public final class PromotionController implements Controller {
  /** Jitter before an announcement, so that in most cases only one host writes the row. */
  static final int ANNOUNCEMENT_JITTER_MILLIS = 300;

  /**
   * The announcing host, or the one that promoted a server only for its log, runs the promotion;
   * other hosts take over after this delay in case it died.
   */
  static final Duration TAKEOVER_DELAY = Duration.ofMillis(800);

  static final int TAKEOVER_JITTER_MILLIS = 1000;

  /**
   * How long a host must have known an announcement before it promotes. A switch time is no
   * substitute: the store may perform the announcement seconds after it was sent.
   */
  private static final Duration NOTICE =
      EngineTimings.VERIFICATION_VALIDITY.plus(EngineTimings.CLOCK_MARGIN);

  private static final String PURPOSE = "announce";

  private final DecisionLog log;
  private final ParsedRows<Optional<Leadership>> leaderships = ParsedRows.of(Leadership::parse);
  private final PromotionTrigger trigger = PromotionTrigger.create();
  private final Map<DatabaseGroupId, MonotonicTime> announceAt = new HashMap<>();
  private final Map<DatabaseGroupId, Long> inFlight = new HashMap<>();
  private final Map<DatabaseGroupId, Announcement> announcements = new HashMap<>();
  private final PromotionWorkflow workflow;
  private long serial;

  private PromotionController(
      EngineSettings settings, DecisionLog log, SuspensionDetector suspension) {
    this.log = log;
    this.workflow = PromotionWorkflow.create(settings, log, suspension);
  }

  /** Returns a controller that is replacing no primary. */
  public static PromotionController create(
      EngineSettings settings, DecisionLog log, SuspensionDetector suspension) {
    return new PromotionController(settings, log, suspension);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    MonotonicTime now = context.now();
    blackboard
        .observations(TransactionAnswered.class)
        .filter(answer -> answer.transaction().tag().purpose().equals(PURPOSE))
        .forEach(this::endCall);
    blackboard
        .observations(TransactionAnswered.class)
        .filter(answer -> answer.result() == TransactionResult.APPLIED)
        .map(TransactionAnswered::transaction)
        .filter(settled -> settled.tag().purpose().equals(EraSettlementController.PURPOSE))
        .forEach(settled -> takeOver(blackboard, settled, now));
    workflow.run(blackboard, now);
    boolean isVerified =
        blackboard
            .get(EngineEntries.VERIFIED_AT)
            .filter(at -> now.since(at).compareTo(EngineTimings.VERIFICATION_VALIDITY) < 0)
            .isPresent();
    if (!isVerified
        || !StoreEraRow.isSettled(blackboard)
        || blackboard.get(EngineEntries.STOPPING)) {
      return;
    }
    blackboard.get(EngineEntries.CONFIGURATION).groups().keySet().stream()
        .filter(blackboard.get(EngineEntries.VERIFIED_GROUPS)::contains)
        .forEach(group -> checkGroup(blackboard, group, context));
  }

  @Override
  public Optional<Inputs> inputs() {
    return Optional.of(
        Inputs.ofObservations(
                TransactionAnswered.class, ServerStatusRead.class, PromotionOrderAnswered.class)
            .andEntries(
                EngineEntries.VERIFIED_GROUPS,
                EngineEntries.STORE_ERA,
                EngineEntries.STORE_ROWS,
                EngineEntries.REMEMBERED_ROWS,
                EngineEntries.STOPPING,
                EngineEntries.CONFIGURATION,
                EngineEntries.SERVERS,
                EngineEntries.PRIMARIES,
                EngineEntries.EVACUATIONS,
                EngineEntries.COLD_SERVERS,
                EngineEntries.UNREACHABLE_PRIMARIES));
  }

  @Override
  public NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
    Optional<MonotonicTime> lapsesAt =
        blackboard
            .get(EngineEntries.VERIFIED_AT)
            .map(at -> at.plus(EngineTimings.VERIFICATION_VALIDITY))
            .filter(now::isBefore);
    boolean isCalm =
        lapsesAt.isPresent()
            && workflow.isIdle()
            && announceAt.isEmpty()
            && announcements.isEmpty()
            && trigger.isCalm()
            && blackboard.get(EngineEntries.PRIMARIES).values().stream()
                .allMatch(view -> view.endsAt().isEmpty());
    // Until then a new verification changes nothing.
    return isCalm ? NextRun.at(lapsesAt.get()) : NextRun.inNextRound(now);
  }

  /** Makes this host run the replacements that it announced when it settled an era. */
  private void takeOver(Blackboard blackboard, RunTransaction settled, MonotonicTime now) {
    blackboard.get(EngineEntries.CONFIGURATION).groups().keySet().stream()
        .filter(group -> settled.writes().containsKey(PromotionRecord.row(group)))
        .forEach(group -> announcements.put(group, Announcement.ownAt(now)));
  }

  /** Forgets a call; if it wrote nothing, the row has the announcement of another host. */
  private void endCall(TransactionAnswered answer) {
    long ended = answer.transaction().tag().serial();
    boolean wroteNothing =
        answer.result() == TransactionResult.CONFLICT
            || answer.result() == TransactionResult.REFUSED;
    if (wroteNothing) {
      inFlight.forEach(
          (group, call) -> {
            if (call == ended) {
              announcements.computeIfPresent(group, (key, known) -> known.ofAnotherHost());
            }
          });
    }
    inFlight.values().remove(ended);
  }

  private void checkGroup(Blackboard blackboard, DatabaseGroupId group, RoundContext context) {
    MonotonicTime now = context.now();
    StoredRow stored = KnownRows.row(blackboard, Leadership.row(group));
    Optional<Leadership> row = leaderships.get(blackboard, Leadership.row(group));
    if (row.isPresent() && row.get().phase() != Leadership.Phase.STABLE) {
      announceAt.remove(group);
      replaceIfDue(blackboard, group, stored, row.get(), context);
      return;
    }
    if (!inFlight.containsKey(group)) {
      // Until the answer, the row does not show yet that this host has announced the replacement.
      announcements.remove(group);
    }
    Optional<Leadership> change = trigger.check(blackboard, group, row, now);
    if (change.isEmpty()) {
      announceAt.remove(group);
      return;
    }
    int jitter = context.random().nextInt(ANNOUNCEMENT_JITTER_MILLIS);
    MonotonicTime due =
        announceAt.computeIfAbsent(group, unused -> now.plus(Duration.ofMillis(jitter)));
    if (!now.isBefore(due) && !inFlight.containsKey(group)) {
      announce(blackboard, group, change.get(), now);
    }
  }

  private void announce(
      Blackboard blackboard, DatabaseGroupId group, Leadership change, MonotonicTime now) {
    Optional<StoreTime> time = blackboard.get(EngineEntries.STORE_TIME);
    if (time.isEmpty()) {
      return;
    }
    long switchAt =
        change.phase() == Leadership.Phase.SWITCHING
            ? time.get().latest(now)
                + EngineTimings.VERIFICATION_VALIDITY
                    .plus(EngineTimings.CLOCK_MARGIN)
                    .plus(EngineTimings.CLOCK_MARGIN)
                    .toMillis()
            : 0;
    Leadership announced =
        new Leadership(change.phase(), change.server(), change.startedAtMillis(), switchAt);
    RowKey row = Leadership.row(group);
    serial++;
    inFlight.put(group, serial);
    announcements.put(group, Announcement.ownAt(now));
    log.write(
        "primary-replacement-announced",
        "group",
        group,
        "server",
        change.server(),
        "phase",
        change.phase(),
        "rowVersion",
        KnownRows.version(blackboard, row),
        "storeMillis",
        time.get().latest(now),
        "switchAtMillis",
        switchAt);
    blackboard.submit(
        new RunTransaction(
            TransactionTag.of(PURPOSE, serial),
            KnownRows.versionsToVerify(blackboard),
            Map.of(row, announced.text())));
  }

  private void replaceIfDue(
      Blackboard blackboard,
      DatabaseGroupId group,
      StoredRow stored,
      Leadership row,
      RoundContext context) {
    MonotonicTime now = context.now();
    Announcement announcement = announcements.get(group);
    if (announcement == null || !announcement.isOf(stored.version())) {
      int jitter = context.random().nextInt(TAKEOVER_JITTER_MILLIS);
      boolean isOwnAnnouncement =
          announcement != null && announcement.version().isEmpty() && announcement.own();
      announcement =
          new Announcement(
              Optional.of(stored.version()),
              now,
              isOwnAnnouncement || workflow.hasRecorded(row.server()),
              TAKEOVER_DELAY.plus(Duration.ofMillis(jitter)));
      announcements.put(group, announcement);
    }
    // A promotion that finds no candidate would hold up those of other groups.
    boolean mayBegin = workflow.obstacle(blackboard, new PromotedGroup(group), now).isEmpty();
    if (mayBegin && isDue(blackboard, row, announcement, now) && workflow.isIdle()) {
      log.write(
          "replacement-due",
          "group",
          group,
          "rowVersion",
          stored.version(),
          "announcedForMs",
          now.since(announcement.at()).toMillis());
      workflow.begin(group, row, stored.version(), now);
    }
  }

  /**
   * Returns whether no host uses the old primary any more. Hosts that know the row stop at its
   * switch time, the others when their last verification expires, which was sent before the row
   * came into force.
   */
  private static boolean isDue(
      Blackboard blackboard, Leadership row, Announcement announcement, MonotonicTime now) {
    Duration notice = row.mayBeInUse() ? NOTICE : Duration.ZERO;
    if (now.isBefore(announcement.at().plus(notice).plus(announcement.delay()))) {
      return false;
    }
    return row.phase() == Leadership.Phase.MOVING
        || blackboard
            .get(EngineEntries.STORE_TIME)
            .filter(
                time ->
                    time.earliest(now) >= row.switchAtMillis() + announcement.delay().toMillis())
            .isPresent();
  }

  /**
   * A replacement that is announced in the leadership row.
   *
   * @param version the version of the row; empty until the answer to this host's own announcement
   * @param at when this host first saw the version
   * @param own whether this host caused the version, by an announcement or by a promotion
   * @param takeoverDelay how long this host waits beyond the time when the promotion is safe, if
   *     another host caused the version
   */
  private record Announcement(
      Optional<StoreVersion> version, MonotonicTime at, boolean own, Duration takeoverDelay) {

    /** Returns an announcement of this host whose version isn't known yet. */
    static Announcement ownAt(MonotonicTime now) {
      return new Announcement(Optional.empty(), now, true, TAKEOVER_DELAY);
    }

    Announcement ofAnotherHost() {
      return new Announcement(version, at, false, takeoverDelay);
    }

    Duration delay() {
      return own ? Duration.ZERO : takeoverDelay;
    }

    boolean isOf(StoreVersion other) {
      return version.filter(other::equals).isPresent();
    }
  }
}
