package org.persimmonwalk.internal.engine.control;

import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Inputs;
import org.persimmonwalk.blackboard.NextRun;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.SuspensionDetector;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.control.RememberedRows;
import org.persimmonwalk.engine.control.ServerListRead;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionResult;
import org.persimmonwalk.engine.control.ZoneReply;
import org.persimmonwalk.engine.control.ZoneRequestEnded;
import org.persimmonwalk.engine.control.ZoneRequestReceived;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.internal.engine.traffic.TrafficMeter;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Notices that the store has come back from a copy, from the answers of the store and the messages
 * of other hosts, and remembers what was known before. Drops answers of earlier eras, so that the
 * controllers after it see those of the current era only. Writes the entries for the era and the
 * remembered rows.
 */
public final class StoreEraController implements Controller {
  private final DecisionLog log;
  private final TrafficMeter meter;
  private final SuspensionDetector suspension;

  private StoreEraController(DecisionLog log, TrafficMeter meter, SuspensionDetector suspension) {
    this.log = log;
    this.meter = meter;
    this.suspension = suspension;
  }

  /** Returns a controller that knows no era. */
  public static StoreEraController create(
      DecisionLog log, TrafficMeter meter, SuspensionDetector suspension) {
    return new StoreEraController(log, meter, suspension);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    if (!blackboard.hasObservations()) {
      return;
    }
    StoreEra current = blackboard.get(EngineEntries.STORE_ERA);
    StoreEra newest = newestEra(blackboard, current);
    if (newest.isAfter(current)) {
      remember(blackboard, current, newest, context.now());
      blackboard.put(EngineEntries.STORE_ERA, newest);
    }
    if (newest.isKnown()) {
      blackboard.replaceObservations(observation -> inEra(newest, observation));
    }
  }

  @Override
  public Optional<Inputs> inputs() {
    return Optional.of(
        Inputs.ofObservations(
            TransactionAnswered.class,
            ServerListRead.class,
            ZoneRequestEnded.class,
            ZoneRequestReceived.class));
  }

  @Override
  public NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
    return NextRun.onInput();
  }

  private static StoreEra newestEra(Blackboard blackboard, StoreEra current) {
    StoreEra newest = current;
    for (Observation observation : blackboard.observations()) {
      StoreEra told = toldEra(observation);
      newest = told.isAfter(newest) ? told : newest;
    }
    return newest;
  }

  private static StoreEra toldEra(Observation observation) {
    if (observation instanceof TransactionAnswered answer) {
      return answer.era();
    }
    if (observation instanceof ServerListRead read) {
      return read.era();
    }
    if (observation instanceof ZoneRequestEnded ended) {
      return ended.reply().map(ZoneReply::era).orElse(StoreEra.UNKNOWN);
    }
    return observation instanceof ZoneRequestReceived received
        ? received.request().era()
        : StoreEra.UNKNOWN;
  }

  private void remember(
      Blackboard blackboard, StoreEra current, StoreEra newest, MonotonicTime now) {
    if (blackboard.get(EngineEntries.STORE_ROWS).isEmpty() && !current.isKnown()) {
      return;
    }
    RememberedRows earlier = blackboard.get(EngineEntries.REMEMBERED_ROWS);
    boolean isSettled = StoreEraRow.isSettled(blackboard);
    Optional<MonotonicTime> verifiedAt =
        blackboard.get(EngineEntries.VERIFIED_AT).or(earlier::verifiedAt);
    boolean isRecent =
        verifiedAt
            .filter(at -> !at.isBefore(suspension.lastResumedAt()))
            .filter(at -> now.since(at).compareTo(EngineTimings.VERIFICATION_VALIDITY) < 0)
            .isPresent();
    Set<DatabaseGroupId> known =
        isSettled || StoreEraRow.isFirstUse(blackboard)
            ? blackboard.get(EngineEntries.VERIFIED_GROUPS)
            : earlier.verifiedGroups();
    RememberedRows remembered =
        new RememberedRows(
            isSettled
                ? blackboard.get(EngineEntries.STORE_ROWS)
                : earlier.combinedWith(blackboard.get(EngineEntries.STORE_ROWS)),
            isRecent ? known : Set.of(),
            verifiedAt);
    blackboard.put(EngineEntries.REMEMBERED_ROWS, remembered);
    meter.count("store.era-changed");
    log.write(
        "store-era-changed",
        "era",
        newest,
        "previous",
        current,
        "previousSettled",
        isSettled,
        "rowsRemembered",
        remembered.rows().size(),
        "groupsKept",
        remembered.verifiedGroups(),
        "groupsDropped",
        blackboard.get(EngineEntries.CONFIGURATION).groups().keySet().stream()
            .filter(group -> !remembered.verifiedGroups().contains(group))
            .toList(),
        "configurationKept",
        blackboard.get(EngineEntries.CONFIGURATION).version(),
        "serversKept",
        blackboard.get(EngineEntries.SERVERS).size());
  }

  private Observation inEra(StoreEra era, Observation observation) {
    if (observation instanceof TransactionAnswered answer) {
      return inEra(era, answer);
    }
    if (observation instanceof ServerListRead read && isOutdated(era, read.era())) {
      logOutdated(era, read.era(), "server list");
      return ServerListRead.unanswered();
    }
    if (observation instanceof ZoneRequestEnded ended) {
      Optional<ZoneReply> reply = ended.reply().filter(ZoneReply::isRelay);
      // A relay that doesn't tell an era has not read the rows in this one.
      return reply.isEmpty() || reply.get().era().equals(era)
          ? ended
          : new ZoneRequestEnded(
              ended.command(), reply.map(ZoneReply::withoutRows), ended.sentAt(), ended.endedAt());
    }
    return observation;
  }

  private TransactionAnswered inEra(StoreEra era, TransactionAnswered answer) {
    if (!answer.isAnswered()) {
      return answer;
    }
    if (isOutdated(era, answer.era())) {
      logOutdated(era, answer.era(), answer.transaction().tag().purpose());
      return TransactionAnswered.without(answer.transaction(), TransactionResult.UNKNOWN);
    }
    TransactionAnswered told = answer.inEra(era);
    boolean isConflict = answer.result() == TransactionResult.CONFLICT;
    if (isConflict || answer.transaction().isOfEra(era)) {
      return told;
    }
    log.write(
        "transaction-crossed-eras", "era", era, "purpose", answer.transaction().tag().purpose());
    return told.withoutEffect();
  }

  /** Returns whether the store that answered is of an earlier era; it may also tell none. */
  private static boolean isOutdated(StoreEra current, StoreEra told) {
    return told.isKnown() && current.isAfter(told);
  }

  private void logOutdated(StoreEra current, StoreEra told, String call) {
    meter.count("store.answer-outdated");
    log.write("store-answer-outdated", "era", told, "current", current, "call", call);
  }
}
