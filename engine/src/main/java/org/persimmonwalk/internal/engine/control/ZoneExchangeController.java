package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Inputs;
import org.persimmonwalk.blackboard.NextRun;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.SuspensionDetector;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.RelayClaim;
import org.persimmonwalk.engine.control.RelayHost;
import org.persimmonwalk.engine.control.RelayRole;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.SendZoneReply;
import org.persimmonwalk.engine.control.SendZoneRequest;
import org.persimmonwalk.engine.control.ServerList;
import org.persimmonwalk.engine.control.ServerListVersion;
import org.persimmonwalk.engine.control.ServerLoadReport;
import org.persimmonwalk.engine.control.ServerLoads;
import org.persimmonwalk.engine.control.StoreReading;
import org.persimmonwalk.engine.control.StoreVersion;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.control.SuspectedRestart;
import org.persimmonwalk.engine.control.ZoneReply;
import org.persimmonwalk.engine.control.ZoneRequest;
import org.persimmonwalk.engine.control.ZoneRequestEnded;
import org.persimmonwalk.engine.control.ZoneRequestReceived;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Sends requests to the relay of the zone, and answers the requests of the other hosts when this
 * host is the relay. Runs last in a round, so that its replies contain what the other controllers
 * decided in that round.
 */
public final class ZoneExchangeController implements Controller {
  /** The interval while a group has no primary, or a large configuration is arriving. */
  static final Duration URGENT_INTERVAL = Duration.ofMillis(100);

  /**
   * How long after it lost its connections to a server a host asks more often: the reports of the
   * other hosts, which tell of further servers, reach the relay meanwhile.
   */
  private static final Duration LOSS_URGENCY = Duration.ofMillis(500);

  /**
   * Each request has its own timeout. This one covers an answer that is lost inside this process,
   * which must not stop the exchange for good.
   */
  static final Duration LOST_ANSWER_TIMEOUT = Duration.ofMillis(2000);

  private final EngineSettings settings;
  private final Duration exchangeInterval;
  private final SuspensionDetector suspension;
  private final ParsedRows<Optional<RelayHost>> relays =
      ParsedRows.of(row -> RelayClaim.parse(row.value()).map(RelayClaim::relay));
  private boolean inFlight;
  private MonotonicTime requestSentAt = MonotonicTime.of(Long.MIN_VALUE / 2);
  private Optional<RelayHost> lastRelay = Optional.empty();
  private MonotonicTime sentLoadsEndedAt = ServerLoads.NONE.endedAt();

  private ZoneExchangeController(EngineSettings settings, SuspensionDetector suspension) {
    this.settings = settings;
    this.exchangeInterval = settings.timings().exchangeInterval();
    this.suspension = suspension;
  }

  /** Returns a controller that has sent no request. */
  public static ZoneExchangeController create(
      EngineSettings settings, SuspensionDetector suspension) {
    return new ZoneExchangeController(settings, suspension);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    MonotonicTime now = context.now();
    if (blackboard.observations(ZoneRequestEnded.class).findAny().isPresent()) {
      inFlight = false;
    }
    blackboard
        .observations(ZoneRequestReceived.class)
        .forEach(
            received ->
                blackboard.submit(
                    new SendZoneReply(received.exchangeId(), reply(blackboard, received, now))));
    targetRelay(blackboard).ifPresent(relay -> sendIfDue(blackboard, relay, now));
  }

  @Override
  public Optional<Inputs> inputs() {
    return Optional.of(
        Inputs.ofObservations(ZoneRequestEnded.class, ZoneRequestReceived.class)
            .andEntries(
                EngineEntries.RELAY_ROLE,
                EngineEntries.STORE_ROWS,
                EngineEntries.STORE_ERA,
                EngineEntries.REMEMBERED_ROWS,
                EngineEntries.VERIFIED_AT,
                EngineEntries.PRIMARIES,
                EngineEntries.OWN_LOSSES));
  }

  @Override
  public NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
    if (targetRelay(blackboard).isEmpty()) {
      return NextRun.onInput();
    }
    boolean hasPlannedSwitch =
        blackboard.get(EngineEntries.PRIMARIES).values().stream()
            .anyMatch(view -> view.endsAt().isPresent());
    if (hasPlannedSwitch) {
      return NextRun.inNextRound(now);
    }
    return NextRun.at(requestSentAt.plus(inFlight ? LOST_ANSWER_TIMEOUT : pause(blackboard, now)));
  }

  /** Returns the time from the last request to the next one. */
  private Duration pause(Blackboard blackboard, MonotonicTime now) {
    Collection<SuspectedRestart> losses = blackboard.get(EngineEntries.OWN_LOSSES).values();
    if (losses.stream().anyMatch(loss -> loss.lostAt().isAfter(requestSentAt))) {
      return Duration.ZERO;
    }
    boolean hasRecentLoss =
        losses.stream().anyMatch(loss -> now.since(loss.lostAt()).compareTo(LOSS_URGENCY) < 0);
    boolean isUrgent =
        hasRecentLoss || waitsForPrimary(blackboard, now) || awaitsConfiguration(blackboard);
    return isUrgent ? URGENT_INTERVAL : exchangeInterval;
  }

  /** Returns the relay named in the store even while it fails, so that its recovery is noticed. */
  private Optional<RelayHost> targetRelay(Blackboard blackboard) {
    RelayRole role = blackboard.get(EngineEntries.RELAY_ROLE);
    if (role.isRelay()) {
      return Optional.empty();
    }
    return role.relay()
        .or(
            () ->
                relays
                    .getOfAnyEra(blackboard, RelayController.row(settings.zone()))
                    .filter(relay -> !relay.host().equals(settings.host())));
  }

  private void sendIfDue(Blackboard blackboard, RelayHost relay, MonotonicTime now) {
    boolean isNewRelay = lastRelay.filter(relay::equals).isEmpty();
    boolean overdue = now.since(requestSentAt).compareTo(LOST_ANSWER_TIMEOUT) > 0;
    boolean waitsForPrimary = waitsForPrimary(blackboard, now);
    boolean due = isNewRelay || now.since(requestSentAt).compareTo(pause(blackboard, now)) >= 0;
    if (!due || (inFlight && !overdue && !isNewRelay)) {
      return;
    }
    inFlight = true;
    requestSentAt = now;
    lastRelay = Optional.of(relay);
    Map<RowKey, StoreVersion> knownVersions = KnownRows.versionsToVerify(blackboard);
    knownVersions.putAll(KnownRows.relayVersions(blackboard, settings.zones()));
    long revision =
        blackboard
            .get(EngineEntries.SERVER_LIST_VERSION)
            .map(ServerListVersion::revision)
            .orElse(0L);
    blackboard.submit(
        new SendZoneRequest(
            relay,
            new ZoneRequest(
                settings.host(),
                blackboard.get(EngineEntries.STORE_ERA),
                knownVersions,
                revision,
                waitsForPrimary || ColdServers.awaitsList(blackboard),
                List.of(),
                unsentLoads(blackboard, now),
                SuspectedRestart.notices(blackboard.get(EngineEntries.OWN_LOSSES), now))));
  }

  /** Returns the newest loads of this host, once: the relay would count them twice. */
  private ServerLoadReport unsentLoads(Blackboard blackboard, MonotonicTime now) {
    ServerLoads loads = blackboard.get(EngineEntries.OWN_LOADS);
    if (!loads.endedAt().isAfter(sentLoadsEndedAt)) {
      return ServerLoadReport.NONE;
    }
    sentLoadsEndedAt = loads.endedAt();
    return report(loads, now);
  }

  private static ServerLoadReport report(ServerLoads loads, MonotonicTime now) {
    return loads.loads().isEmpty()
        ? ServerLoadReport.NONE
        : ServerLoadReport.of(now.since(loads.endedAt()), loads.loads().values());
  }

  /** Returns whether a large configuration is arriving at the relay, or at this host. */
  private static boolean awaitsConfiguration(Blackboard blackboard) {
    return !blackboard
        .get(EngineEntries.CONFIGURATION_VERIFIED_AT)
        .equals(blackboard.get(EngineEntries.VERIFIED_AT));
  }

  private static boolean waitsForPrimary(Blackboard blackboard, MonotonicTime now) {
    return blackboard.get(EngineEntries.PRIMARIES).values().stream()
        .anyMatch(view -> view.at(now).isEmpty());
  }

  private ZoneReply reply(Blackboard blackboard, ZoneRequestReceived received, MonotonicTime now) {
    if (!blackboard.get(EngineEntries.RELAY_ROLE).isRelay()) {
      return ZoneReply.notRelay();
    }
    MonotonicTime resumedAt = suspension.lastResumedAt();
    RoutingConfiguration configuration = blackboard.get(EngineEntries.CONFIGURATION);
    boolean coversAllGroups =
        blackboard.get(EngineEntries.VERIFIED_GROUPS).containsAll(configuration.groups().keySet());
    Predicate<MonotonicTime> counts = at -> coversAllGroups && !at.isBefore(resumedAt);
    Optional<Duration> verifiedAge =
        blackboard.get(EngineEntries.VERIFIED_AT).filter(counts).map(now::since);
    Optional<Duration> configurationAge =
        blackboard.get(EngineEntries.CONFIGURATION_VERIFIED_AT).filter(counts).map(now::since);
    ZoneRequest request = received.request();
    StoreVersion configurationRowVersion = KnownRows.version(blackboard, RowKey.CONFIGURATION);
    boolean hasNewerConfiguration = isNewer(configurationRowVersion, RowKey.CONFIGURATION, request);
    return new ZoneReply(
        true,
        blackboard.get(EngineEntries.STORE_ERA),
        verifiedAge,
        configurationAge,
        configurationRowVersion,
        blackboard.get(EngineEntries.STORE_TIME).map(time -> StoreReading.of(time, now)),
        newerRows(blackboard, request),
        hasNewerConfiguration ? Optional.of(configuration) : Optional.empty(),
        servers(blackboard, request, now),
        blackboard.get(EngineEntries.TOKEN_LOANS).getOrDefault(received.exchangeId(), List.of()),
        blackboard.get(EngineEntries.FLEET_SIZE),
        report(blackboard.get(EngineEntries.ZONE_LOADS), now),
        SuspectedRestart.notices(blackboard.get(EngineEntries.SUSPECTED_RESTARTS), now));
  }

  private Map<RowKey, StoredRow> newerRows(Blackboard blackboard, ZoneRequest request) {
    Map<RowKey, StoredRow> newer = new HashMap<>();
    Map<RowKey, StoreVersion> versions = KnownRows.versionsToVerify(blackboard);
    versions.putAll(KnownRows.relayVersions(blackboard, settings.zones()));
    versions.forEach(
        (row, version) -> {
          StoredRow known = KnownRows.row(blackboard, row);
          // A missing evacuation row is sent too, since the receiver may know it from before.
          boolean isSent =
              row.isEvacuation()
                  ? known.exists() || known.removed()
                  : isNewer(version, row, request);
          if (isSent) {
            newer.put(row, known);
          }
        });
    return newer;
  }

  private static boolean isNewer(StoreVersion version, RowKey row, ZoneRequest request) {
    StoreVersion known =
        request.knownVersions().getOrDefault(row, StoreVersion.absent(request.era()));
    return version.exists() && version.compareTo(known) > 0;
  }

  private static Optional<ServerList> servers(
      Blackboard blackboard, ZoneRequest request, MonotonicTime now) {
    return blackboard
        .get(EngineEntries.SERVER_LIST_VERSION)
        .map(
            listing ->
                new ServerList(
                    listing.revision(),
                    now.since(listing.readAt()),
                    listing.revision() == request.serverListRevision()
                        ? List.of()
                        : List.copyOf(blackboard.get(EngineEntries.SERVERS).values())));
  }
}
