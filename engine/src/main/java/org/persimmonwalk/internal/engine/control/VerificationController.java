package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.RelayAnswered;
import org.persimmonwalk.engine.control.RowDemand;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.StoreTime;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionResult;
import org.persimmonwalk.engine.control.TransactionTag;
import org.persimmonwalk.engine.control.ZoneReply;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Keeps the configuration and the leadership rows verified by a transaction that states the known
 * versions; a conflict shows the current rows. Owns the rows, the configuration, the store's time
 * and the verification time.
 */
public final class VerificationController implements Controller {
  /** A third of the shortest time for which a verification may be relied on (3 s). */
  static final Duration INTERVAL = Duration.ofMillis(1000);

  /** The interval while a group has no primary, so that its end is seen soon. */
  static final Duration URGENT_INTERVAL = Duration.ofMillis(250);

  /** The pause after a call that failed, so that an outage is not answered by a flood of calls. */
  static final Duration FAILURE_PAUSE = Duration.ofMillis(400);

  /** The least pause between two calls when work waits for tokens. */
  static final Duration LEAST_PAUSE = Duration.ofMillis(50);

  /**
   * A call without an answer is followed by a second one after this time: an answer that is lost
   * must not cost the time until its timeout. A slow store answers within about 400 ms.
   */
  static final Duration HEDGE = Duration.ofMillis(500);

  /** Calls end by their own timeout; an answer lost inside this process must not stop the rest. */
  static final Duration OVERDUE = Duration.ofMillis(5000);

  /**
   * A host that asks the relay of its zone calls the store itself when its verification is older
   * than this: the relay's interval, the pause between questions and a slow answer.
   */
  static final Duration RELAY_PATIENCE = Duration.ofMillis(1400);

  private static final int MOST_IN_FLIGHT = 2;

  static final String PURPOSE = "verify";

  private final EngineSettings settings;
  private final DecisionLog log;
  private long serial;
  private int inFlight;
  private MonotonicTime lastStart = MonotonicTime.of(Long.MIN_VALUE / 2);
  private boolean connected;
  private MonotonicTime lastEnd = MonotonicTime.of(Long.MIN_VALUE / 2);
  private MonotonicTime nextCall = MonotonicTime.of(Long.MIN_VALUE / 2);

  private VerificationController(EngineSettings settings, DecisionLog log) {
    this.settings = settings;
    this.log = log;
  }

  /** Returns a controller that has verified nothing. */
  public static VerificationController create(EngineSettings settings, DecisionLog log) {
    return new VerificationController(settings, log);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    blackboard
        .observations(TransactionAnswered.class)
        .forEach(answer -> take(blackboard, answer, context.now()));
    blackboard
        .observations(RelayAnswered.class)
        .forEach(answer -> answer.reply().ifPresent(reply -> take(blackboard, answer, reply)));
    RowDemand demand = blackboard.get(EngineEntries.ROW_DEMAND);
    boolean due =
        blackboard.get(EngineEntries.RELAY_ROLE).isRelayed()
            ? isDueBesidesRelay(blackboard, context.now())
            : isDue(demand, context.now());
    boolean hedges =
        inFlight > 0
            && inFlight < MOST_IN_FLIGHT
            && context.now().since(lastStart).compareTo(HEDGE) >= 0;
    if (inFlight > 0 && context.now().since(lastStart).compareTo(OVERDUE) > 0) {
      inFlight = 0;
    }
    if ((inFlight == 0 && due) || hedges) {
      inFlight++;
      lastStart = context.now();
      serial++;
      Map<RowKey, Long> expected = Expectations.verifying(blackboard);
      demand.rows().forEach(row -> expected.put(row, Expectations.version(blackboard, row)));
      RowKey relay = RelayController.row(settings.zone());
      expected.put(relay, Expectations.version(blackboard, relay));
      blackboard.submit(new RunTransaction(TransactionTag.of(PURPOSE, serial), expected, Map.of()));
    }
  }

  private boolean isDue(RowDemand demand, MonotonicTime now) {
    MonotonicTime earliest = lastEnd.plus(LEAST_PAUSE);
    return !now.isBefore(nextCall) || (demand.urgent() && connected && !now.isBefore(earliest));
  }

  private boolean isDueBesidesRelay(Blackboard blackboard, MonotonicTime now) {
    boolean isOld =
        blackboard
            .get(EngineEntries.VERIFIED_AT)
            .filter(at -> now.since(at).compareTo(RELAY_PATIENCE) < 0)
            .isEmpty();
    return isOld && now.since(lastStart).compareTo(INTERVAL) >= 0 && !now.isBefore(nextCall);
  }

  /** Takes over what the relay has verified, as of the time of its own call. */
  private void take(Blackboard blackboard, RelayAnswered answer, ZoneReply reply) {
    if (!reply.serves()) {
      return;
    }
    merge(blackboard, reply.rows(), reply.configuration());
    reply
        .reading()
        .map(reading -> reading.at(answer.askedAt(), answer.answeredAt()))
        .ifPresent(time -> noteTime(blackboard, time));
    boolean covers =
        blackboard.get(EngineEntries.CONFIGURATION).isPresent()
            && reply.configurationRow() >= Expectations.version(blackboard, RowKey.CONFIGURATION);
    if (covers) {
      reply
          .verifiedAge()
          .ifPresent(age -> noteVerification(blackboard, answer.askedAt().minus(age)));
    }
  }

  private void take(Blackboard blackboard, TransactionAnswered answer, MonotonicTime now) {
    boolean answered =
        answer.result() == TransactionResult.APPLIED
            || answer.result() == TransactionResult.CONFLICT;
    noteConnection(answered, answer.result());
    boolean verified = false;
    if (answered) {
      merge(blackboard, answer.rows(), answer.configuration());
      verified = answer.time().filter(time -> verify(blackboard, answer, time)).isPresent();
    }
    if (answer.transaction().tag().purpose().equals(PURPOSE)) {
      inFlight = Math.max(0, inFlight - 1);
      lastEnd = now;
      nextCall = now.plus(pause(blackboard, answer, verified, now));
    }
  }

  /** A configuration that names new groups is verified at once together with their rows. */
  private static Duration pause(
      Blackboard blackboard, TransactionAnswered answer, boolean verified, MonotonicTime now) {
    if (answer.time().isEmpty()) {
      return FAILURE_PAUSE;
    }
    boolean isNews = !verified && blackboard.get(EngineEntries.CONFIGURATION).isPresent();
    return isNews ? Duration.ZERO : interval(blackboard, now, answer.time().get().sentAt());
  }

  /** Returns the pause until the next call, counted so that calls start an interval apart. */
  private static Duration interval(Blackboard blackboard, MonotonicTime now, MonotonicTime sentAt) {
    boolean urgent =
        blackboard.get(EngineEntries.PRIMARIES).values().stream()
            .anyMatch(view -> view.at(now).isEmpty());
    Duration left = (urgent ? URGENT_INTERVAL : INTERVAL).minus(now.since(sentAt));
    return left.isNegative() ? Duration.ZERO : left;
  }

  private void noteConnection(boolean answered, TransactionResult result) {
    if (answered != connected) {
      connected = answered;
      log.write(answered ? "store-regained" : "store-lost", "result", result);
    }
  }

  private void merge(
      Blackboard blackboard,
      Map<RowKey, StoredRow> shown,
      Optional<RoutingConfiguration> configuration) {
    Map<RowKey, StoredRow> rows = new HashMap<>(blackboard.get(EngineEntries.ROWS));
    shown.forEach(
        (key, row) ->
            rows.merge(key, row, (old, other) -> other.version() > old.version() ? other : old));
    blackboard.put(EngineEntries.ROWS, Map.copyOf(rows));
    configuration.ifPresent(newest -> accept(blackboard, newest));
  }

  /** A host only ever moves to a newer configuration. */
  private void accept(Blackboard blackboard, RoutingConfiguration shown) {
    RoutingConfiguration current = blackboard.get(EngineEntries.CONFIGURATION);
    if (shown.version() > current.version()) {
      blackboard.put(EngineEntries.CONFIGURATION, shown);
      log.write(
          "configuration-accepted",
          "version",
          shown.version(),
          "previous",
          current.version(),
          "routes",
          shown.routes().size());
    }
  }

  /** Returns whether the answer covers all rows that a verification must cover. */
  private static boolean verify(Blackboard blackboard, TransactionAnswered answer, StoreTime time) {
    noteTime(blackboard, time);
    boolean complete =
        answer
            .transaction()
            .expected()
            .keySet()
            .containsAll(Expectations.verifying(blackboard).keySet());
    if (!complete || !blackboard.get(EngineEntries.CONFIGURATION).isPresent()) {
      return false;
    }
    noteVerification(blackboard, time.sentAt());
    return true;
  }

  private static void noteTime(Blackboard blackboard, StoreTime time) {
    Optional<StoreTime> newest = blackboard.get(EngineEntries.STORE_TIME);
    if (newest.isEmpty() || newest.get().sentAt().isBefore(time.sentAt())) {
      blackboard.put(EngineEntries.STORE_TIME, Optional.of(time));
    }
  }

  private static void noteVerification(Blackboard blackboard, MonotonicTime sentAt) {
    Optional<MonotonicTime> verified = blackboard.get(EngineEntries.VERIFIED_AT);
    if (verified.isEmpty() || verified.get().isBefore(sentAt)) {
      blackboard.put(EngineEntries.VERIFIED_AT, Optional.of(sentAt));
    }
  }
}
