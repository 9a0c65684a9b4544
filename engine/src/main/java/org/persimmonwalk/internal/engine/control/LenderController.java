package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.RelayHost;
import org.persimmonwalk.engine.control.TokenReply;
import org.persimmonwalk.engine.control.TokenRequestsEnded;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Finds out which relays can lend tokens to this host: those that the store names, except the ones
 * that recently failed to reply. Writes the lenders entry.
 */
public final class LenderController implements Controller {
  /**
   * How long a lender that failed is left out. Its zone replaces a relay within about 2 s; each
   * attempt before that delays the operations that wait.
   */
  static final Duration FAILURE_PAUSE = Duration.ofMillis(1000);

  /**
   * A lender that has not replied for this long is left out until it does: operations wait for a
   * token only about as long. It replies within 60 ms also when it has to take tokens first.
   */
  static final Duration SLOW_REPLY = Duration.ofMillis(100);

  private final EngineSettings settings;
  private final DecisionLog log;
  private final ParsedRows<Optional<RelayHost>> relays =
      ParsedRows.of(row -> RelayHost.parse(row.value()));
  private final Map<RelayHost, MonotonicTime> failedUntil = new HashMap<>();

  /** The entries for which all named lenders were published; empty if some were left out. */
  private List<Object> decidedFor = List.of();

  private LenderController(EngineSettings settings, DecisionLog log) {
    this.settings = settings;
    this.log = log;
  }

  /** Returns a controller for which no lender has failed. */
  public static LenderController create(EngineSettings settings, DecisionLog log) {
    return new LenderController(settings, log);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    MonotonicTime now = context.now();
    blackboard.observations(TokenRequestsEnded.class).forEach(ended -> record(ended, now));
    failedUntil.values().removeIf(until -> !now.isBefore(until));
    Map<RelayHost, MonotonicTime> unanswered = blackboard.get(EngineEntries.UNANSWERED_LENDERS);
    boolean leavesOutNone = failedUntil.isEmpty() && unanswered.isEmpty();
    List<Object> named =
        List.of(
            blackboard.get(EngineEntries.STORE_ERA),
            blackboard.get(EngineEntries.STORE_ROWS),
            blackboard.get(EngineEntries.REMEMBERED_ROWS));
    if (leavesOutNone && isSame(named, decidedFor)) {
      return;
    }
    decidedFor = leavesOutNone ? named : List.of();
    Map<AvailabilityZone, RelayHost> lenders = new HashMap<>();
    for (AvailabilityZone zone : settings.zones()) {
      relays
          .getOfAnyEra(blackboard, RelayController.row(zone))
          .filter(relay -> !relay.host().equals(settings.host()))
          .filter(relay -> !failedUntil.containsKey(relay))
          .filter(relay -> !isSlow(unanswered.get(relay), now))
          .ifPresent(relay -> lenders.put(zone, relay));
    }
    if (!lenders.equals(blackboard.get(EngineEntries.LENDERS))) {
      blackboard.put(EngineEntries.LENDERS, Map.copyOf(lenders));
    }
  }

  /** Returns whether both lists have the same objects, without a look at their content. */
  private static boolean isSame(List<Object> entries, List<Object> others) {
    boolean same = entries.size() == others.size();
    for (int i = 0; same && i < entries.size(); i++) {
      same = entries.get(i) == others.get(i);
    }
    return same;
  }

  private static boolean isSlow(MonotonicTime sentAt, MonotonicTime now) {
    return sentAt != null && now.since(sentAt).compareTo(SLOW_REPLY) >= 0;
  }

  private void record(TokenRequestsEnded ended, MonotonicTime now) {
    RelayHost lender = ended.command().lender();
    Optional<TokenReply> reply = ended.reply();
    if (reply.filter(TokenReply::lends).isPresent()) {
      failedUntil.remove(lender);
      return;
    }
    failedUntil.put(lender, now.plus(FAILURE_PAUSE));
    log.write("lender-failed", "lender", lender.host(), "answered", reply.isPresent());
  }
}
