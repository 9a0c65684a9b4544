package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Inputs;
import org.persimmonwalk.blackboard.NextRun;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.control.RowDemand;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.StoreTime;
import org.persimmonwalk.engine.control.StoreVersion;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionResult;
import org.persimmonwalk.engine.control.TransactionTag;
import org.persimmonwalk.engine.control.ZoneReply;
import org.persimmonwalk.engine.control.ZoneRequestEnded;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Verifies regularly that the configuration and the leadership rows known here are the newest. Each
 * verification is a transaction that expects the known versions and writes nothing; a conflict
 * returns the current rows. Writes the entries for the rows, the configuration, the store's time,
 * the verification time and the groups that it covers.
 */
public final class VerificationController implements Controller {
  /** The interval while a group has no primary, so that a new primary is seen soon. */
  static final Duration URGENT_INTERVAL = Duration.ofMillis(250);

  /** The pause after a failed call, so that hosts don't flood the store during an outage. */
  static final Duration FAILURE_PAUSE = Duration.ofMillis(400);

  /**
   * Each call has its own timeout. This one covers an answer that is lost inside this process,
   * which must not stop the verification for good.
   */
  static final Duration LOST_ANSWER_TIMEOUT = Duration.ofMillis(5000);

  /**
   * After the store came back from a copy, the operator writes again what it has lost; servers take
   * about 2 s for that. Until then a verification can't tell whether a key was withdrawn.
   */
  static final Duration OPERATOR_REWRITE_TIME = Duration.ofMillis(2500);

  /** The hosts behind a relay know less exactly when it sent its verification. */
  private static final Duration RELAYED_TIME_MARGIN = Duration.ofMillis(100);

  private static final int MAX_IN_FLIGHT = 2;

  static final String PURPOSE = "verify";

  private final EngineSettings settings;
  private final EngineTimings timings;
  private final DecisionLog log;
  private StoreEra era = StoreEra.UNKNOWN;
  private long serial;
  private int inFlight;
  private MonotonicTime lastCallAt = MonotonicTime.of(Long.MIN_VALUE / 2);
  private boolean connected;
  private MonotonicTime nextCallAt = MonotonicTime.of(Long.MIN_VALUE / 2);

  private VerificationController(EngineSettings settings, DecisionLog log) {
    this.settings = settings;
    this.timings = settings.timings();
    this.log = log;
  }

  /** Returns a controller that has verified nothing. */
  public static VerificationController create(EngineSettings settings, DecisionLog log) {
    return new VerificationController(settings, log);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    forgetRowsOfEarlierEra(blackboard, context.now());
    blackboard
        .observations(TransactionAnswered.class)
        .forEach(answer -> apply(blackboard, answer, context.now()));
    blackboard
        .observations(ZoneRequestEnded.class)
        .forEach(ended -> ended.reply().ifPresent(reply -> apply(blackboard, ended, reply)));
    RowDemand demand = blackboard.get(EngineEntries.ROW_DEMAND);
    boolean due =
        blackboard.get(EngineEntries.RELAY_ROLE).isClient()
            ? isFallbackDue(blackboard, context.now())
            : !context.now().isBefore(nextCallAt);
    boolean isHedgeDue =
        inFlight > 0
            && inFlight < MAX_IN_FLIGHT
            && context.now().since(lastCallAt).compareTo(timings.verificationHedgeDelay()) >= 0;
    if (inFlight > 0 && context.now().since(lastCallAt).compareTo(LOST_ANSWER_TIMEOUT) > 0) {
      inFlight = 0;
    }
    if ((inFlight == 0 && due) || isHedgeDue) {
      inFlight++;
      lastCallAt = context.now();
      serial++;
      Map<RowKey, StoreVersion> expected = KnownRows.versionsToVerify(blackboard);
      demand.rows().forEach(row -> expected.put(row, KnownRows.version(blackboard, row)));
      expected.putAll(KnownRows.relayVersions(blackboard, settings.zones()));
      expected.putAll(FleetSizeController.versions(blackboard, settings.zones()));
      blackboard.submit(new RunTransaction(TransactionTag.of(PURPOSE, serial), expected, Map.of()));
    }
  }

  @Override
  public Optional<Inputs> inputs() {
    return Optional.of(
        Inputs.ofObservations(TransactionAnswered.class, ZoneRequestEnded.class)
            .andEntries(
                EngineEntries.STORE_ERA, EngineEntries.RELAY_ROLE, EngineEntries.RELAY_ADVANCES));
  }

  @Override
  public NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
    if (inFlight > 0) {
      NextRun lost = NextRun.at(lastCallAt.plus(LOST_ANSWER_TIMEOUT));
      return inFlight < MAX_IN_FLIGHT
          ? lost.orAt(lastCallAt.plus(timings.verificationHedgeDelay()))
          : lost;
    }
    if (!blackboard.get(EngineEntries.RELAY_ROLE).isClient()) {
      return NextRun.at(nextCallAt);
    }
    Optional<MonotonicTime> verifiedAt = blackboard.get(EngineEntries.VERIFIED_AT);
    return NextRun.at(
        verifiedAt.isPresent()
            ? verifiedAt.get().plus(fallbackAge(blackboard))
            : lastCallAt.plus(timings.verificationInterval()));
  }

  /** Forgets the rows of an earlier era, so that the next verification reads all of them. */
  private void forgetRowsOfEarlierEra(Blackboard blackboard, MonotonicTime now) {
    StoreEra current = blackboard.get(EngineEntries.STORE_ERA);
    if (current.equals(era)) {
      return;
    }
    era = current;
    nextCallAt = now;
    blackboard.put(EngineEntries.STORE_ROWS, Map.of());
    blackboard.put(EngineEntries.STORE_TIME, Optional.empty());
    blackboard.put(EngineEntries.VERIFIED_AT, Optional.empty());
    blackboard.put(EngineEntries.VERIFIED_GROUPS, Set.of());
  }

  private boolean isFallbackDue(Blackboard blackboard, MonotonicTime now) {
    Duration fallbackAge = fallbackAge(blackboard);
    boolean isOld =
        blackboard
            .get(EngineEntries.VERIFIED_AT)
            .filter(at -> now.since(at).compareTo(fallbackAge) < 0)
            .isEmpty();
    return isOld
        && now.since(lastCallAt).compareTo(timings.verificationInterval()) >= 0
        && !now.isBefore(nextCallAt);
  }

  private Duration fallbackAge(Blackboard blackboard) {
    return blackboard.get(EngineEntries.RELAY_ADVANCES)
        ? timings.slowRelayFallbackAge()
        : timings.relayFallbackAge();
  }

  /** Applies what the relay has verified; its age counts from the relay's own call to the store. */
  private void apply(Blackboard blackboard, ZoneRequestEnded ended, ZoneReply reply) {
    if (!reply.isRelay()) {
      return;
    }
    merge(blackboard, reply.rows(), reply.configuration());
    reply
        .storeReading()
        .map(reading -> reading.at(ended.sentAt(), ended.endedAt()))
        .ifPresent(time -> updateStoreTime(blackboard, time));
    boolean isConfigurationCurrent =
        blackboard.get(EngineEntries.CONFIGURATION).isPresent()
            && reply
                    .configurationRowVersion()
                    .compareTo(KnownRows.version(blackboard, RowKey.CONFIGURATION))
                >= 0;
    // A relay with other settings, or with another server list, may watch fewer zones.
    boolean coversEvacuations =
        reply.rows().keySet().containsAll(KnownRows.evacuationRows(blackboard));
    if (isConfigurationCurrent && coversEvacuations) {
      reply.verifiedAge().ifPresent(age -> updateVerifiedAt(blackboard, ended.sentAt().minus(age)));
    }
  }

  private void apply(Blackboard blackboard, TransactionAnswered answer, MonotonicTime now) {
    boolean answered = answer.isAnswered();
    updateConnected(answered || answer.time().isPresent(), answer.result());
    boolean verified = false;
    if (answered) {
      merge(blackboard, answer.rows(), answer.configuration());
      verified = answer.time().filter(time -> verify(blackboard, answer, time)).isPresent();
    }
    if (answer.transaction().tag().purpose().equals(PURPOSE)) {
      inFlight = Math.max(0, inFlight - 1);
      nextCallAt = now.plus(pause(blackboard, answer, verified, now));
    }
  }

  /**
   * Returns the pause after an answer; none if a configuration names new groups, so that it is
   * verified at once together with their rows.
   */
  private Duration pause(
      Blackboard blackboard, TransactionAnswered answer, boolean verified, MonotonicTime now) {
    if (answer.time().isEmpty()) {
      return FAILURE_PAUSE;
    }
    Duration interval = interval(blackboard, now, answer.time().get().sentAt());
    boolean hasUnverifiedRows =
        !verified && blackboard.get(EngineEntries.CONFIGURATION).isPresent();
    return hasUnverifiedRows
        ? Duration.ZERO
        : untilKeysCanBeVerified(blackboard, now)
            .filter(wait -> wait.compareTo(interval) < 0)
            .orElse(interval);
  }

  /** Returns the time until a verification can vouch for keys, if that is in the future. */
  private static Optional<Duration> untilKeysCanBeVerified(
      Blackboard blackboard, MonotonicTime now) {
    return StoreEraRow.of(blackboard)
        .filter(StoreEraRow::isAfterReturn)
        .flatMap(row -> blackboard.get(EngineEntries.STORE_TIME).map(time -> keysFrom(row, time)))
        .map(at -> at.plus(RELAYED_TIME_MARGIN))
        .filter(now::isBefore)
        .map(at -> at.since(now));
  }

  /** Returns from when on the operator must have written again what the store has lost. */
  private static MonotonicTime keysFrom(StoreEraRow row, StoreTime time) {
    return time.latestLocalTime(row.settledAtMillis() + OPERATOR_REWRITE_TIME.toMillis());
  }

  /** Returns the pause until the next call so that calls start one interval apart. */
  private Duration interval(Blackboard blackboard, MonotonicTime now, MonotonicTime sentAt) {
    boolean urgent =
        blackboard.get(EngineEntries.PRIMARIES).values().stream()
            .anyMatch(view -> view.at(now).isEmpty());
    Duration remaining =
        (urgent ? URGENT_INTERVAL : timings.verificationInterval()).minus(now.since(sentAt));
    return remaining.isNegative() ? Duration.ZERO : remaining;
  }

  private void updateConnected(boolean answered, TransactionResult result) {
    if (answered != connected) {
      connected = answered;
      log.write(answered ? "store-regained" : "store-lost", "result", result);
    }
  }

  private void merge(
      Blackboard blackboard,
      Map<RowKey, StoredRow> newRows,
      Optional<RoutingConfiguration> configuration) {
    if (!newRows.isEmpty()) {
      Map<RowKey, StoredRow> rows = new HashMap<>(blackboard.get(EngineEntries.STORE_ROWS));
      newRows.forEach(
          (key, row) -> rows.merge(key, row, (old, other) -> other.isNewerThan(old) ? other : old));
      blackboard.put(EngineEntries.STORE_ROWS, Map.copyOf(rows));
    }
    configuration.ifPresent(newest -> accept(blackboard, newest));
  }

  /** Accepts the configuration only if it is newer than the current one. */
  private void accept(Blackboard blackboard, RoutingConfiguration received) {
    RoutingConfiguration current = blackboard.get(EngineEntries.CONFIGURATION);
    if (received.version() > current.version()) {
      blackboard.put(EngineEntries.CONFIGURATION, received);
      log.write(
          "configuration-accepted",
          "version",
          received.version(),
          "previous",
          current.version(),
          "routes",
          received.routes().size());
    }
  }

  /**
   * Updates the store's time and, if the transaction covered all rows that must be verified, the
   * verification time; returns whether it covered them.
   */
  private static boolean verify(Blackboard blackboard, TransactionAnswered answer, StoreTime time) {
    updateStoreTime(blackboard, time);
    boolean complete =
        answer
            .transaction()
            .expected()
            .keySet()
            .containsAll(KnownRows.versionsToVerify(blackboard).keySet());
    if (!complete || !blackboard.get(EngineEntries.CONFIGURATION).isPresent()) {
      return false;
    }
    updateVerifiedAt(blackboard, time.sentAt());
    return true;
  }

  private static void updateStoreTime(Blackboard blackboard, StoreTime time) {
    Optional<StoreTime> newest = blackboard.get(EngineEntries.STORE_TIME);
    if (newest.isEmpty() || newest.get().sentAt().isBefore(time.sentAt())) {
      blackboard.put(EngineEntries.STORE_TIME, Optional.of(time));
    }
  }

  private static void updateVerifiedAt(Blackboard blackboard, MonotonicTime sentAt) {
    Optional<MonotonicTime> verified = blackboard.get(EngineEntries.VERIFIED_AT);
    if (verified.isEmpty() || verified.get().isBefore(sentAt)) {
      blackboard.put(EngineEntries.VERIFIED_AT, Optional.of(sentAt));
      blackboard.put(
          EngineEntries.VERIFIED_GROUPS,
          blackboard.get(EngineEntries.CONFIGURATION).groups().keySet());
      if (vouchesForKeys(blackboard, sentAt)) {
        blackboard.put(EngineEntries.KEYS_VERIFIED_AT, Optional.of(sentAt));
      }
    }
  }

  /**
   * Returns whether no newer configuration can have been lost: the store has not come back from a
   * copy, that was long enough ago, or the operator has written since.
   */
  private static boolean vouchesForKeys(Blackboard blackboard, MonotonicTime sentAt) {
    if (!blackboard.get(EngineEntries.STORE_ERA).isKnown() || StoreEraRow.isFirstUse(blackboard)) {
      return true;
    }
    Optional<StoreEraRow> settled =
        StoreEraRow.of(blackboard).filter(row -> StoreEraRow.isSettled(blackboard));
    if (settled.isEmpty()) {
      return false;
    }
    boolean isRewritten =
        KnownRows.version(blackboard, RowKey.CONFIGURATION)
                .compareTo(KnownRows.version(blackboard, StoreEraRow.ROW))
            > 0;
    return !settled.get().isAfterReturn()
        || isRewritten
        || blackboard
            .get(EngineEntries.STORE_TIME)
            .filter(time -> !sentAt.isBefore(keysFrom(settled.get(), time)))
            .isPresent();
  }
}
