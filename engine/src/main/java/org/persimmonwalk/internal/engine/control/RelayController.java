package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.RelayAnswered;
import org.persimmonwalk.engine.control.RelayHost;
import org.persimmonwalk.engine.control.RelayRole;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionTag;
import org.persimmonwalk.engine.control.ZoneReply;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Finds the relay of the zone in its row and takes its place when it fails; owns the relay role. No
 * safety depends on the role: two relays only cost calls.
 */
public final class RelayController implements Controller {
  /**
   * A relay verifies every second; older verifications show that it has lost the store, is
   * overloaded, or that the store is slow.
   */
  static final Duration STALE = Duration.ofMillis(1200);

  /** A host whose own verification is this recent does not need a relay that lags. */
  static final Duration OWN_FRESHNESS = Duration.ofMillis(1000);

  /** A slow store lets a relay lag for moments; a change of the relay costs every host a call. */
  static final Duration CLAIM_AFTER = Duration.ofMillis(500);

  /** Hosts that claim the role at the same moment conflict, so that all but one waste a call. */
  static final Duration CLAIM_SPREAD = Duration.ofMillis(400);

  /** A host that loses the role sooner may be cut off from its peers; it waits twice as long. */
  static final Duration SHORT_ROLE = Duration.ofSeconds(5);

  /** The longest wait of a host that lost the role again and again. */
  static final Duration LONGEST_CLAIM_AFTER = Duration.ofSeconds(12);

  /** Only a host that reaches the store can serve the others. */
  static final Duration CLAIM_FRESHNESS = Duration.ofMillis(1500);

  /** A claim whose answer was lost may be repeated, as it states the version of the row. */
  static final Duration CLAIM_OVERDUE = Duration.ofSeconds(5);

  private static final String PURPOSE = "claim-relay";
  private static final String TABLE = "relay";

  private final EngineSettings settings;
  private final DecisionLog log;
  private Optional<RelayHost> named = Optional.empty();
  private boolean failing;
  private boolean stale;
  private Duration claimAfter = CLAIM_AFTER;
  private Optional<MonotonicTime> claimAt = Optional.empty();
  private Optional<MonotonicTime> claimedAt = Optional.empty();
  private Optional<MonotonicTime> relayingSince = Optional.empty();
  private long serial;

  private RelayController(EngineSettings settings, DecisionLog log) {
    this.settings = settings;
    this.log = log;
  }

  /** Returns a controller that knows no relay. */
  public static RelayController create(EngineSettings settings, DecisionLog log) {
    return new RelayController(settings, log);
  }

  /** Returns the row that names the relay of a zone. */
  static RowKey row(AvailabilityZone zone) {
    return RowKey.of(TABLE, zone.value());
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    MonotonicTime now = context.now();
    blackboard.observations(RelayAnswered.class).forEach(this::note);
    blackboard
        .observations(TransactionAnswered.class)
        .filter(answer -> answer.transaction().tag().purpose().equals(PURPOSE))
        .forEach(answer -> claimedAt = Optional.empty());
    follow(RelayHost.parse(Expectations.known(blackboard, row(settings.zone())).value()), now);
    RelayRole role = role(blackboard, now);
    publish(blackboard, role, now);
    boolean isNeeded = role.equals(RelayRole.DIRECT) || (role.isRelayed() && stale);
    if (isNeeded && !blackboard.get(EngineEntries.STOPPING)) {
      considerClaim(blackboard, context);
    } else {
      claimAt = Optional.empty();
    }
  }

  /** Notes whether the relay that is named now answers and has a recent verification. */
  private void note(RelayAnswered answer) {
    if (named.filter(answer.question().relay()::equals).isEmpty()) {
      return;
    }
    Optional<ZoneReply> reply = answer.reply().filter(ZoneReply::serves);
    boolean fails = reply.isEmpty();
    boolean lags =
        reply.flatMap(ZoneReply::verifiedAge).filter(age -> age.compareTo(STALE) < 0).isEmpty();
    if (fails != failing || lags != stale) {
      failing = fails;
      stale = lags;
      log.write(
          lags ? "relay-lost" : "relay-regained",
          "relay",
          named.get().host(),
          "answered",
          answer.reply().isPresent(),
          "serves",
          !fails,
          "verifiedAgeMs",
          reply.flatMap(ZoneReply::verifiedAge).map(Duration::toMillis).orElse(-1L));
    }
  }

  private void follow(Optional<RelayHost> current, MonotonicTime now) {
    if (current.equals(named)) {
      return;
    }
    log.write(
        "relay-changed",
        "relay",
        current.map(RelayHost::host).map(Object::toString).orElse("none"),
        "previous",
        named.map(RelayHost::host).map(Object::toString).orElse("none"));
    named = current;
    failing = false;
    stale = false;
    claimAt = Optional.empty();
  }

  private RelayRole role(Blackboard blackboard, MonotonicTime now) {
    if (named.isEmpty()) {
      return RelayRole.DIRECT;
    }
    if (named.get().equals(self())) {
      return blackboard.get(EngineEntries.STOPPING) ? RelayRole.DIRECT : RelayRole.RELAYING;
    }
    boolean needless = stale && isVerifiedWithin(OWN_FRESHNESS, blackboard, now);
    return failing || needless ? RelayRole.DIRECT : RelayRole.relayedBy(named.get());
  }

  private static boolean isVerifiedWithin(Duration age, Blackboard blackboard, MonotonicTime now) {
    return blackboard
        .get(EngineEntries.VERIFIED_AT)
        .filter(at -> now.since(at).compareTo(age) < 0)
        .isPresent();
  }

  private RelayHost self() {
    return new RelayHost(settings.host(), settings.peers());
  }

  private void publish(Blackboard blackboard, RelayRole role, MonotonicTime now) {
    boolean relays = role.equals(RelayRole.RELAYING);
    if (relays && relayingSince.isEmpty()) {
      relayingSince = Optional.of(now);
    } else if (!relays && relayingSince.isPresent()) {
      boolean isShort = now.since(relayingSince.get()).compareTo(SHORT_ROLE) < 0;
      Duration doubled = claimAfter.multipliedBy(2);
      Duration longer = doubled.compareTo(LONGEST_CLAIM_AFTER) < 0 ? doubled : LONGEST_CLAIM_AFTER;
      claimAfter = isShort ? longer : CLAIM_AFTER;
      relayingSince = Optional.empty();
    }
    if (!role.equals(blackboard.get(EngineEntries.RELAY_ROLE))) {
      blackboard.put(EngineEntries.RELAY_ROLE, role);
    }
  }

  private void considerClaim(Blackboard blackboard, RoundContext context) {
    MonotonicTime now = context.now();
    if (claimAt.isEmpty()) {
      Duration spread = Duration.ofMillis(context.random().nextInt((int) CLAIM_SPREAD.toMillis()));
      claimAt = Optional.of(now.plus(named.isPresent() ? claimAfter.plus(spread) : spread));
    }
    boolean reachesStore = isVerifiedWithin(CLAIM_FRESHNESS, blackboard, now);
    boolean pending =
        claimedAt.filter(at -> now.since(at).compareTo(CLAIM_OVERDUE) < 0).isPresent();
    if (reachesStore && !pending && !now.isBefore(claimAt.get())) {
      claimedAt = Optional.of(now);
      claimAt = Optional.empty();
      serial++;
      RowKey row = row(settings.zone());
      blackboard.submit(
          new RunTransaction(
              TransactionTag.of(PURPOSE, serial),
              Map.of(row, Expectations.version(blackboard, row)),
              Map.of(row, self().text())));
    }
  }
}
