package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.SuspensionDetector;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.StoreTime;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionTag;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Announces that a primary is replaced and, once no host can rely on the old one any more, carries
 * the replacement out. Any host may do either part; the rows of the store decide which one does.
 */
public final class PromotionController implements Controller {
  /** A host uses a primary only if its leadership row was verified within this time. */
  public static final Duration RELIANCE = Duration.ofMillis(3000);

  /** Slack for the rounding of clocks and for a host that is slow between its check and its act. */
  static final Duration MARGIN = Duration.ofMillis(300);

  /** Hosts spread their announcements so that mostly one of them writes the row. */
  static final int ANNOUNCEMENT_JITTER_MILLIS = 300;

  /** The announcer goes first; others take over after this time if it died. */
  static final Duration TAKEOVER = Duration.ofMillis(800);

  static final int TAKEOVER_JITTER_MILLIS = 1000;

  private static final String PURPOSE = "announce";

  private final DecisionLog log;
  private final PromotionTrigger trigger = PromotionTrigger.create();
  private final Map<DatabaseGroupId, MonotonicTime> announceAt = new HashMap<>();
  private final Map<DatabaseGroupId, Long> inFlight = new HashMap<>();
  private final Map<DatabaseGroupId, Seen> seen = new HashMap<>();
  private final PromotionCampaign campaign;
  private long serial;

  private PromotionController(
      EngineSettings settings, DecisionLog log, SuspensionDetector suspension) {
    this.log = log;
    this.campaign = PromotionCampaign.create(settings, log, suspension);
  }

  /** Returns a controller that replaces no primary yet. */
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
        .forEach(answer -> inFlight.values().remove(answer.transaction().tag().serial()));
    campaign.run(blackboard, now);
    boolean relies =
        blackboard
            .get(EngineEntries.VERIFIED_AT)
            .filter(at -> now.since(at).compareTo(RELIANCE) < 0)
            .isPresent();
    if (!relies || blackboard.get(EngineEntries.STOPPING)) {
      return;
    }
    for (DatabaseGroupId group : blackboard.get(EngineEntries.CONFIGURATION).groups().keySet()) {
      check(blackboard, group, context);
    }
  }

  private void check(Blackboard blackboard, DatabaseGroupId group, RoundContext context) {
    MonotonicTime now = context.now();
    StoredRow stored = Expectations.known(blackboard, Leadership.row(group));
    Optional<Leadership> row = Leadership.parse(stored.value());
    if (row.isPresent() && row.get().phase() != Leadership.Phase.STABLE) {
      announceAt.remove(group);
      replace(blackboard, group, stored, row.get(), context);
      return;
    }
    seen.remove(group);
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
            ? time.get().latest(now) + RELIANCE.plus(MARGIN).plus(MARGIN).toMillis()
            : 0;
    Leadership announced =
        new Leadership(change.phase(), change.server(), change.startedAtMillis(), switchAt);
    RowKey row = Leadership.row(group);
    serial++;
    inFlight.put(group, serial);
    seen.put(group, new Seen(-1, now, true, Duration.ZERO));
    log.write(
        "primary-replacement-announced",
        "group",
        group,
        "server",
        change.server(),
        "phase",
        change.phase(),
        "rowVersion",
        Expectations.version(blackboard, row));
    blackboard.submit(
        new RunTransaction(
            TransactionTag.of(PURPOSE, serial),
            Expectations.verifying(blackboard),
            Map.of(row, announced.text())));
  }

  private void replace(
      Blackboard blackboard,
      DatabaseGroupId group,
      StoredRow stored,
      Leadership row,
      RoundContext context) {
    MonotonicTime now = context.now();
    Seen known = seen.get(group);
    if (known == null || known.version() != stored.version()) {
      int jitter = context.random().nextInt(TAKEOVER_JITTER_MILLIS);
      boolean own = known != null && known.version() < 0;
      known =
          new Seen(
              stored.version(),
              now,
              own,
              own ? Duration.ZERO : TAKEOVER.plus(Duration.ofMillis(jitter)));
      seen.put(group, known);
    }
    if (isDue(blackboard, row, known, now) && campaign.isIdle()) {
      campaign.begin(group, row, stored.version(), now);
    }
  }

  private static boolean isDue(
      Blackboard blackboard, Leadership row, Seen known, MonotonicTime now) {
    if (row.phase() == Leadership.Phase.MOVING) {
      return !now.isBefore(known.at().plus(RELIANCE).plus(MARGIN).plus(known.delay()));
    }
    return blackboard
        .get(EngineEntries.STORE_TIME)
        .filter(time -> time.earliest(now) >= row.switchAtMillis() + known.delay().toMillis())
        .isPresent();
  }

  private record Seen(long version, MonotonicTime at, boolean own, Duration delay) {}
}
