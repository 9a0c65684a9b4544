package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Inputs;
import org.persimmonwalk.blackboard.NextRun;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.RelayClaim;
import org.persimmonwalk.engine.control.RelayHost;
import org.persimmonwalk.engine.control.TokenReply;
import org.persimmonwalk.engine.control.TokenRequestsEnded;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Finds out which relays can lend tokens to this host: those that the store names, except the ones
 * that failed. Tells slow ones apart, which are asked in addition to others and not left out.
 * Writes the entries for lenders, slow lenders and failed lenders.
 */
public final class LenderController implements Controller {
  /**
   * How long a lender that failed is left out. Its zone replaces a relay within about 2 s; each
   * attempt before that delays the operations that wait.
   */
  static final Duration FAILURE_PAUSE = Duration.ofMillis(1000);

  /**
   * A lender is left out after this many requests in a row without a reply. A host with an eighth
   * of a core misses a single one now and then.
   */
  static final int MAX_FAILURES = 2;

  /**
   * A lender without a reply for this long is left out until it replies, unless its replies have
   * usually taken longer. A host without another lender then takes tokens from the store.
   */
  static final Duration SHORTEST_SILENCE = Duration.ofMillis(200);

  /** After this a host takes tokens elsewhere, even if the replies of the lender were as slow. */
  static final Duration LONGEST_SILENCE = Duration.ofMillis(800);

  /**
   * How long the first reply of a lender may take. With the shortest times, hosts that started
   * together asked other lenders too, which then wrote the same rows.
   */
  private static final Duration UNMEASURED = Duration.ofMillis(400);

  /** What is known of a lender that was not asked for this long says little about its replies. */
  private static final Duration RETENTION = Duration.ofSeconds(30);

  private static final long REPLY_TIME_STEP_MILLIS = 100;

  private final EngineSettings settings;
  private final DecisionLog log;
  private final ParsedRows<Optional<RelayHost>> relays =
      ParsedRows.of(row -> RelayClaim.parse(row.value()).map(RelayClaim::relay));
  private final Map<RelayHost, Record> records = new HashMap<>();
  private RoutingConfiguration configuration = RoutingConfiguration.NONE;
  private Duration shortestWait = Route.SHORTEST_TOKEN_WAIT;

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
    updateShortestWait(blackboard);
    blackboard.observations(TokenRequestsEnded.class).forEach(ended -> record(ended, now));
    Map<RelayHost, MonotonicTime> unanswered = blackboard.get(EngineEntries.UNANSWERED_LENDERS);
    Map<AvailabilityZone, RelayHost> lenders = new HashMap<>();
    for (AvailabilityZone zone : settings.zones()) {
      relays
          .getOfAnyEra(blackboard, RelayController.row(zone))
          .filter(relay -> !relay.host().equals(settings.host()))
          .filter(relay -> !isLeftOut(relay, now))
          .filter(relay -> !isUnanswered(unanswered.get(relay), silence(relay), now))
          .ifPresent(relay -> lenders.put(zone, relay));
    }
    Set<RelayHost> slow = new HashSet<>();
    lenders.values().stream()
        .filter(relay -> isUnanswered(unanswered.get(relay), hedgeDelay(relay), now))
        .forEach(slow::add);
    records.values().removeIf(record -> now.since(record.endedAt).compareTo(RETENTION) > 0);
    if (!lenders.equals(blackboard.get(EngineEntries.LENDERS))) {
      blackboard.put(EngineEntries.LENDERS, Map.copyOf(lenders));
    }
    if (!slow.equals(blackboard.get(EngineEntries.SLOW_LENDERS))) {
      blackboard.put(EngineEntries.SLOW_LENDERS, Set.copyOf(slow));
    }
    Set<RelayHost> failed =
        lenders.values().stream().filter(this::hasFailed).collect(Collectors.toSet());
    if (!failed.equals(blackboard.get(EngineEntries.FAILED_LENDERS))) {
      blackboard.put(EngineEntries.FAILED_LENDERS, Set.copyOf(failed));
    }
    Duration replyTime = replyTime(lenders.values());
    if (!replyTime.equals(blackboard.get(EngineEntries.LENDER_REPLY_TIME))) {
      blackboard.put(EngineEntries.LENDER_REPLY_TIME, replyTime);
    }
  }

  @Override
  public Optional<Inputs> inputs() {
    return Optional.of(
        Inputs.ofObservations(TokenRequestsEnded.class)
            .andEntries(
                EngineEntries.CONFIGURATION,
                EngineEntries.UNANSWERED_LENDERS,
                EngineEntries.STORE_ROWS,
                EngineEntries.STORE_ERA,
                EngineEntries.REMEMBERED_ROWS));
  }

  @Override
  public NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
    if (!blackboard.get(EngineEntries.UNANSWERED_LENDERS).isEmpty()) {
      return NextRun.inNextRound(now);
    }
    NextRun next = NextRun.onInput();
    for (Record record : records.values()) {
      next = next.orAt(record.endedAt.plus(RETENTION));
      next = now.isBefore(record.leftOutUntil) ? next.orAt(record.leftOutUntil) : next;
    }
    return next;
  }

  /** Returns the longest of the lenders' reply times, rounded down so that it seldom changes. */
  private Duration replyTime(Collection<RelayHost> lenders) {
    long longest =
        lenders.stream()
            .filter(records::containsKey)
            .mapToLong(
                relay ->
                    records
                        .get(relay)
                        .replyTimes
                        .expected(Duration.ZERO, LONGEST_SILENCE)
                        .toMillis())
            .max()
            .orElse(0);
    return Duration.ofMillis(longest - longest % REPLY_TIME_STEP_MILLIS);
  }

  /** Finds the shortest wait of a route when the configuration has changed. */
  private void updateShortestWait(Blackboard blackboard) {
    RoutingConfiguration newest = blackboard.get(EngineEntries.CONFIGURATION);
    if (newest != configuration) {
      configuration = newest;
      shortestWait =
          newest.routes().values().stream()
              .map(Route::usualTokenWait)
              .min(Comparator.naturalOrder())
              .orElse(Route.SHORTEST_TOKEN_WAIT);
    }
  }

  private boolean isLeftOut(RelayHost relay, MonotonicTime now) {
    Record record = records.get(relay);
    return record != null && now.isBefore(record.leftOutUntil);
  }

  private boolean hasFailed(RelayHost relay) {
    Record record = records.get(relay);
    return record != null && record.hasFailed;
  }

  private static boolean isUnanswered(MonotonicTime sentAt, Duration age, MonotonicTime now) {
    return sentAt != null && now.since(sentAt).compareTo(age) >= 0;
  }

  /**
   * Returns the time after which another lender is asked in addition. It follows the measured reply
   * times, so that lenders that are all slow don't get twice the requests. The operations that can
   * wait least still have half of their wait left, unless that is shorter than a lender may take to
   * fetch tokens.
   */
  private Duration hedgeDelay(RelayHost relay) {
    Duration half = shortestWait.dividedBy(2);
    Duration fetch = ReceivedTokenRequests.LONGEST_WAIT;
    return expectedReplyTime(relay, half.compareTo(fetch) < 0 ? fetch : half);
  }

  /** Returns the time without a reply after which a lender counts as silent. */
  private Duration silence(RelayHost relay) {
    return expectedReplyTime(relay, SHORTEST_SILENCE);
  }

  private Duration expectedReplyTime(RelayHost relay, Duration shortest) {
    Record record = records.get(relay);
    if (record == null || !record.replyTimes.isMeasured()) {
      return shortest.compareTo(UNMEASURED) < 0 ? UNMEASURED : shortest;
    }
    return record.replyTimes.expected(shortest, LONGEST_SILENCE);
  }

  private void record(TokenRequestsEnded ended, MonotonicTime now) {
    RelayHost lender = ended.command().lender();
    Record record = records.computeIfAbsent(lender, unused -> new Record(now));
    Optional<TokenReply> reply = ended.reply();
    if (reply.filter(TokenReply::isOfLender).isPresent()) {
      record.endedAt = now;
      record.failures = 0;
      record.hasFailed = false;
      record.leftOutUntil = now;
      record.replyTimes.record(ended.endedAt().since(ended.sentAt()));
      return;
    }
    record.endedAt = now;
    record.failures++;
    if (reply.isPresent() || ended.isRefused() || record.failures >= MAX_FAILURES) {
      record.hasFailed = true;
      record.leftOutUntil = now.plus(FAILURE_PAUSE);
      log.write("lender-failed", "lender", lender.host(), "answered", reply.isPresent());
    }
  }

  /** What this host has seen of a lender. */
  private static final class Record {
    private final ReplyTimes replyTimes = new ReplyTimes();
    private int failures;
    private boolean hasFailed;
    private MonotonicTime leftOutUntil;
    private MonotonicTime endedAt;

    private Record(MonotonicTime now) {
      this.endedAt = now;
      this.leftOutUntil = now;
    }
  }
}
