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
import org.persimmonwalk.engine.control.RowDemand;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.StoreTime;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionResult;
import org.persimmonwalk.engine.control.TransactionTag;
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

  private static final int MOST_IN_FLIGHT = 2;

  static final String PURPOSE = "verify";

  private final DecisionLog log;
  private long serial;
  private int inFlight;
  private MonotonicTime lastStart = MonotonicTime.of(Long.MIN_VALUE / 2);
  private boolean connected;
  private MonotonicTime lastEnd = MonotonicTime.of(Long.MIN_VALUE / 2);
  private MonotonicTime nextCall = MonotonicTime.of(Long.MIN_VALUE / 2);

  private VerificationController(DecisionLog log) {
    this.log = log;
  }

  /** Returns a controller that has verified nothing. */
  public static VerificationController create(DecisionLog log) {
    return new VerificationController(log);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    blackboard
        .observations(TransactionAnswered.class)
        .forEach(answer -> take(blackboard, answer, context.now()));
    RowDemand demand = blackboard.get(EngineEntries.ROW_DEMAND);
    MonotonicTime earliest = lastEnd.plus(LEAST_PAUSE);
    boolean due =
        !context.now().isBefore(nextCall)
            || (demand.urgent() && connected && !context.now().isBefore(earliest));
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
      blackboard.submit(new RunTransaction(TransactionTag.of(PURPOSE, serial), expected, Map.of()));
    }
  }

  private void take(Blackboard blackboard, TransactionAnswered answer, MonotonicTime now) {
    boolean answered =
        answer.result() == TransactionResult.APPLIED
            || answer.result() == TransactionResult.CONFLICT;
    noteConnection(answered, answer.result());
    boolean verified = false;
    if (answered) {
      merge(blackboard, answer);
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

  private void merge(Blackboard blackboard, TransactionAnswered answer) {
    Map<RowKey, StoredRow> rows = new HashMap<>(blackboard.get(EngineEntries.ROWS));
    answer
        .rows()
        .forEach(
            (key, row) ->
                rows.merge(
                    key, row, (old, shown) -> shown.version() > old.version() ? shown : old));
    blackboard.put(EngineEntries.ROWS, Map.copyOf(rows));
    answer.configuration().ifPresent(shown -> accept(blackboard, shown));
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
    Optional<StoreTime> newest = blackboard.get(EngineEntries.STORE_TIME);
    if (newest.isEmpty() || newest.get().sentAt().isBefore(time.sentAt())) {
      blackboard.put(EngineEntries.STORE_TIME, Optional.of(time));
    }
    boolean complete =
        answer
            .transaction()
            .expected()
            .keySet()
            .containsAll(Expectations.verifying(blackboard).keySet());
    if (!complete || !blackboard.get(EngineEntries.CONFIGURATION).isPresent()) {
      return false;
    }
    Optional<MonotonicTime> verified = blackboard.get(EngineEntries.VERIFIED_AT);
    if (verified.isEmpty() || verified.get().isBefore(time.sentAt())) {
      blackboard.put(EngineEntries.VERIFIED_AT, Optional.of(time.sentAt()));
    }
    return true;
  }
}
