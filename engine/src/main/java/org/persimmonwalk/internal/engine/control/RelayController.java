package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Inputs;
import org.persimmonwalk.blackboard.NextRun;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.control.HostStrength;
import org.persimmonwalk.engine.control.RelayClaim;
import org.persimmonwalk.engine.control.RelayHost;
import org.persimmonwalk.engine.control.RelayRole;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionTag;
import org.persimmonwalk.engine.control.ZoneReply;
import org.persimmonwalk.engine.control.ZoneRequestEnded;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Reads from the store which host is the relay of the zone, and claims that role for this host when
 * there is no relay or the relay fails. Writes the relay role entry. Safety doesn't depend on the
 * role: two relays at once only cost additional store calls.
 */
public final class RelayController implements Controller {
  /**
   * How long a failure of the relay must last before a host claims the role. A slow store makes a
   * relay stale for short moments, and a change of the relay costs every host a call.
   */
  static final Duration CLAIM_DELAY = Duration.ofMillis(300);

  /**
   * Jitter of claims; hosts that claim at the same moment conflict, and all but one waste a call.
   */
  static final Duration CLAIM_JITTER = Duration.ofMillis(400);

  /**
   * How much later the weakest hosts claim the role than the strongest. Stronger hosts of the zone
   * come first, and weak ones still do it where there is no other, soon enough that no verification
   * expires.
   */
  static final Duration WEAKEST_DELAY = Duration.ofMillis(600);

  /** A relay keeps the role for this long at least before a much stronger host takes it over. */
  static final Duration TAKEOVER_DELAY = Duration.ofSeconds(5);

  /**
   * A relay that is silent for less than this, beyond the interval of the exchange, counts as slow.
   * Relays with an eighth of a core were often silent for 200 ms, and their zones replaced them.
   */
  static final Duration SHORTEST_SILENCE = Duration.ofMillis(500);

  /** A longer silence would let the tokens of the relay expire before it is replaced. */
  static final Duration LONGEST_SILENCE = Duration.ofMillis(750);

  /** Rounds start at least this often while a host gets processor time. */
  private static final Duration LONGEST_ROUND = Duration.ofMillis(100);

  /** A client's wait for its next round, so that one that starts a little late counts in full. */
  private static final Duration SILENCE_STEP = LONGEST_ROUND.minus(Duration.ofMillis(10));

  /**
   * A host that loses the role sooner than this may be cut off from its peers; it doubles its claim
   * delay.
   */
  static final Duration SHORT_TENURE = Duration.ofSeconds(5);

  /** The upper bound of the doubled claim delay. */
  static final Duration MAX_CLAIM_DELAY = Duration.ofSeconds(12);

  /**
   * Without an answer for this long, the claim is repeated. Repeating is safe because the write is
   * conditional on the version of the row.
   */
  static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(5);

  private static final String PURPOSE = "claim-relay";
  private static final String TABLE = "relay";

  private final EngineSettings settings;
  private final EngineTimings timings;
  private final DecisionLog log;
  private final ParsedRows<Optional<RelayClaim>> claims =
      ParsedRows.of(row -> RelayClaim.parse(row.value()));
  private Optional<RelayHost> currentRelay = Optional.empty();
  private MonotonicTime currentSince = MonotonicTime.of(0);
  private final ReplyTimes replyTimes = new ReplyTimes();
  private boolean failing;
  private boolean stale;
  private Duration silence = Duration.ZERO;
  private RelayProgress progress = RelayProgress.NONE;
  private MonotonicTime lastRoundAt = MonotonicTime.of(0);
  private Duration claimDelay = CLAIM_DELAY;
  private Optional<MonotonicTime> claimDueAt = Optional.empty();
  private Optional<MonotonicTime> claimSentAt = Optional.empty();
  private Optional<MonotonicTime> relayingSince = Optional.empty();
  private long serial;

  private RelayController(EngineSettings settings, DecisionLog log) {
    this.settings = settings;
    this.timings = settings.timings();
    this.log = log;
  }

  /** Returns a controller that knows no relay. */
  public static RelayController create(EngineSettings settings, DecisionLog log) {
    return new RelayController(settings, log);
  }

  /** Returns the key of the row that names the relay of a zone. */
  static RowKey row(AvailabilityZone zone) {
    return RowKey.ofName(TABLE, zone.value());
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    MonotonicTime now = context.now();
    silence = silence.plus(ownRunningTime(now));
    blackboard.observations(ZoneRequestEnded.class).forEach(ended -> recordReply(ended, now));
    detectSilence();
    blackboard
        .observations(TransactionAnswered.class)
        .filter(answer -> answer.transaction().tag().purpose().equals(PURPOSE))
        .forEach(answer -> claimSentAt = Optional.empty());
    Optional<RelayClaim> claim = claims.getOfAnyEra(blackboard, row(settings.zone()));
    updateCurrentRelay(claim.map(RelayClaim::relay), now);
    RelayRole role = role(blackboard, now);
    publish(blackboard, role, now);
    boolean isClaimNeeded =
        role.equals(RelayRole.DIRECT) || (role.isClient() && (stale || isMuchStronger(claim, now)));
    if (isClaimNeeded && !blackboard.get(EngineEntries.STOPPING)) {
      claimIfDue(blackboard, context);
    } else {
      claimDueAt = Optional.empty();
    }
  }

  @Override
  public Optional<Inputs> inputs() {
    return Optional.of(
        Inputs.ofObservations(ZoneRequestEnded.class, TransactionAnswered.class)
            .andEntries(
                EngineEntries.STORE_ROWS,
                EngineEntries.STORE_ERA,
                EngineEntries.REMEMBERED_ROWS,
                EngineEntries.STOPPING));
  }

  @Override
  public NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
    RelayRole role = blackboard.get(EngineEntries.RELAY_ROLE);
    if (role.isRelay()) {
      return NextRun.onInput();
    }
    if (!role.isClient() || stale || claimDueAt.isPresent()) {
      return NextRun.inNextRound(now);
    }
    return NextRun.at(now.plus(SILENCE_STEP))
        .orAfter(now, longestSilence().minus(silence), now)
        .orAfter(currentSince, takeoverDelay(), now)
        .orAfter(progress.learntAt(), timings.relayAdvanceAge(), now);
  }

  /** Records whether the current relay answers and whether its verification is recent. */
  private void recordReply(ZoneRequestEnded ended, MonotonicTime now) {
    if (currentRelay.filter(ended.command().relay()::equals).isEmpty()) {
      return;
    }
    Optional<ZoneReply> reply = ended.reply().filter(ZoneReply::isRelay);
    if (ended.reply().isPresent()) {
      silence = Duration.ZERO;
      replyTimes.record(ended.endedAt().since(ended.sentAt()));
    } else if (!ended.isRefused()) {
      return;
    }
    progress =
        reply
            .flatMap(ZoneReply::verifiedAge)
            .map(age -> progress.next(ended.sentAt().minus(age), now))
            .orElse(progress);
    boolean isFailing = reply.isEmpty();
    boolean isAdvancing = progress.isRecent(timings.relayAdvanceAge(), now);
    boolean isOld =
        reply
            .flatMap(ZoneReply::verifiedAge)
            .filter(age -> age.compareTo(timings.relayStaleAge()) < 0)
            .isEmpty();
    boolean isStale = isFailing || (isOld && !isAdvancing);
    update(isFailing, isStale, ended.reply().isPresent(), reply.flatMap(ZoneReply::verifiedAge));
  }

  /**
   * Returns the time since the last round in which this host was running. A host that was suspended
   * or got no processor time has not read the replies that arrived meanwhile.
   */
  private Duration ownRunningTime(MonotonicTime now) {
    Duration sinceLastRound = now.since(lastRoundAt);
    lastRoundAt = now;
    return sinceLastRound.compareTo(LONGEST_ROUND) < 0 ? sinceLastRound : LONGEST_ROUND;
  }

  /** Counts a relay that is silent for much longer than its replies usually take as failed. */
  private void detectSilence() {
    boolean isClient = currentRelay.filter(relay -> !relay.equals(self())).isPresent();
    if (isClient && silence.compareTo(longestSilence()) >= 0) {
      update(true, true, false, Optional.empty());
    }
  }

  private Duration longestSilence() {
    return timings.exchangeInterval().plus(replyTimes.expected(SHORTEST_SILENCE, LONGEST_SILENCE));
  }

  private void update(
      boolean isFailing, boolean isStale, boolean isAnswered, Optional<Duration> verifiedAge) {
    if (isFailing != failing || isStale != stale) {
      failing = isFailing;
      stale = isStale;
      log.write(
          isStale ? "relay-lost" : "relay-regained",
          "relay",
          currentRelay.get().host(),
          "answered",
          isAnswered,
          "serves",
          !isFailing,
          "verifiedAgeMs",
          verifiedAge.map(Duration::toMillis).orElse(-1L));
    }
  }

  private void updateCurrentRelay(Optional<RelayHost> relay, MonotonicTime now) {
    if (relay.equals(currentRelay)) {
      return;
    }
    log.write(
        "relay-changed",
        "relay",
        relay.map(RelayHost::host).map(Object::toString).orElse("none"),
        "previous",
        currentRelay.map(RelayHost::host).map(Object::toString).orElse("none"));
    currentRelay = relay;
    currentSince = now;
    failing = false;
    stale = false;
    silence = Duration.ZERO;
    progress = RelayProgress.NONE;
    claimDueAt = Optional.empty();
  }

  private RelayRole role(Blackboard blackboard, MonotonicTime now) {
    if (currentRelay.isEmpty()) {
      return RelayRole.DIRECT;
    }
    if (currentRelay.get().equals(self())) {
      return blackboard.get(EngineEntries.STOPPING) ? RelayRole.DIRECT : RelayRole.RELAY;
    }
    boolean isRelayUnneeded =
        stale && isVerifiedWithin(timings.verificationInterval(), blackboard, now);
    return failing || isRelayUnneeded ? RelayRole.DIRECT : RelayRole.clientOf(currentRelay.get());
  }

  private static boolean isVerifiedWithin(Duration age, Blackboard blackboard, MonotonicTime now) {
    return blackboard
        .get(EngineEntries.VERIFIED_AT)
        .filter(at -> now.since(at).compareTo(age) < 0)
        .isPresent();
  }

  /**
   * Returns whether to replace a relay that works, because it is much weaker than this host. It
   * keeps the role for a while, which is longer each time that this host soon lost the role itself,
   * so that the role doesn't change often. A host is never replaced by a weaker one.
   */
  private boolean isMuchStronger(Optional<RelayClaim> claim, MonotonicTime now) {
    Optional<HostStrength> relayStrength = claim.flatMap(RelayClaim::strength);
    return settings.strength().isPresent()
        && relayStrength.isPresent()
        && settings.strength().get().isMuchMoreThan(relayStrength.get())
        && now.since(currentSince).compareTo(takeoverDelay()) >= 0;
  }

  private Duration takeoverDelay() {
    return TAKEOVER_DELAY.multipliedBy(claimDelay.dividedBy(CLAIM_DELAY));
  }

  private Duration weaknessDelay() {
    double missing = settings.strength().map(HostStrength::missingPart).orElse(0.0);
    return Duration.ofMillis(Math.round(WEAKEST_DELAY.toMillis() * missing));
  }

  private RelayHost self() {
    return new RelayHost(settings.host(), settings.peerEndpoint());
  }

  private void publish(Blackboard blackboard, RelayRole role, MonotonicTime now) {
    boolean isRelay = role.equals(RelayRole.RELAY);
    if (isRelay && relayingSince.isEmpty()) {
      relayingSince = Optional.of(now);
    } else if (!isRelay && relayingSince.isPresent()) {
      boolean isShortTenure = now.since(relayingSince.get()).compareTo(SHORT_TENURE) < 0;
      Duration doubled = claimDelay.multipliedBy(2);
      Duration capped = doubled.compareTo(MAX_CLAIM_DELAY) < 0 ? doubled : MAX_CLAIM_DELAY;
      claimDelay = isShortTenure ? capped : CLAIM_DELAY;
      relayingSince = Optional.empty();
    }
    if (!role.equals(blackboard.get(EngineEntries.RELAY_ROLE))) {
      blackboard.put(EngineEntries.RELAY_ROLE, role);
    }
    boolean advances = !failing && progress.isRecent(timings.relayAdvanceAge(), now);
    if (advances != blackboard.get(EngineEntries.RELAY_ADVANCES)) {
      blackboard.put(EngineEntries.RELAY_ADVANCES, advances);
    }
  }

  private void claimIfDue(Blackboard blackboard, RoundContext context) {
    MonotonicTime now = context.now();
    if (claimDueAt.isEmpty()) {
      Duration jitter =
          Duration.ofMillis(context.random().nextInt((int) CLAIM_JITTER.toMillis()))
              .plus(weaknessDelay());
      claimDueAt =
          Optional.of(now.plus(currentRelay.isPresent() ? claimDelay.plus(jitter) : jitter));
    }
    boolean reachesStore = isVerifiedWithin(timings.claimFreshness(), blackboard, now);
    boolean isClaimPending =
        claimSentAt.filter(at -> now.since(at).compareTo(CLAIM_TIMEOUT) < 0).isPresent();
    if (reachesStore && !isClaimPending && !now.isBefore(claimDueAt.get())) {
      claimSentAt = Optional.of(now);
      claimDueAt = Optional.empty();
      serial++;
      RowKey row = row(settings.zone());
      blackboard.submit(
          new RunTransaction(
              TransactionTag.of(PURPOSE, serial),
              Map.of(row, KnownRows.version(blackboard, row)),
              Map.of(row, new RelayClaim(self(), settings.strength()).text())));
    }
  }
}
