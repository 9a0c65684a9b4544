package org.persimmonwalk.internal.engine.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Inputs;
import org.persimmonwalk.blackboard.NextRun;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.SuspensionDetector;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.Evacuations;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Chooses the zones whose evacuation rows are watched, and publishes the evacuated zones. Reads
 * what the verification has found, so it runs after it and after the server list.
 */
public final class EvacuationController implements Controller {
  /**
   * Zones beyond those of the settings that are watched. The store accepts 100 entries a call, of
   * which rate rows take 40, and anyone may list servers of further zones.
   */
  static final int MAXIMUM_OTHER_ZONES = 12;

  private final EngineSettings settings;
  private final DecisionLog log;
  private final SuspensionDetector suspension;
  private final Optional<EvacuationDecision> decision;
  private final Set<AvailabilityZone> reportedWithoutServers = new HashSet<>();
  private final Set<AvailabilityZone> reportedUnwatched = new HashSet<>();
  private Optional<MonotonicTime> lastVerifiedAt = Optional.empty();

  /** The zones and servers from which the watched zones were last derived. */
  private Map<BackendServerId, ServerEntry> lastServers = Map.of();

  private Set<AvailabilityZone> lastRequested = Set.of();
  private boolean hasChosen;

  private EvacuationController(
      EngineSettings settings, DecisionLog log, SuspensionDetector suspension) {
    this.settings = settings;
    this.log = log;
    this.suspension = suspension;
    this.decision = settings.bounds().evacuation().map(EvacuationDecision::within);
  }

  /** Returns a controller that knows no evacuation. */
  public static EvacuationController create(
      EngineSettings settings, DecisionLog log, SuspensionDetector suspension) {
    return new EvacuationController(settings, log, suspension);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    decision.ifPresent(
        watching -> {
          watching.resumed(suspension.lastResumedAt());
          recordRows(blackboard, watching, context.now());
          Map<AvailabilityZone, MonotonicTime> deadlines = watching.deadlines();
          publish(blackboard, deadlines, context.now());
          chooseZones(blackboard, deadlines.keySet());
        });
  }

  @Override
  public Optional<Inputs> inputs() {
    return Optional.of(
        Inputs.ofEntries(
            EngineEntries.RESUMED_AT,
            EngineEntries.VERIFIED_AT,
            EngineEntries.KEYS_VERIFIED_AT,
            EngineEntries.WATCHED_ZONES,
            EngineEntries.STORE_ROWS,
            EngineEntries.STORE_ERA,
            EngineEntries.SERVERS,
            EngineEntries.EVACUATIONS));
  }

  @Override
  public NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
    return NextRun.onInput();
  }

  /** The watched zones are those that the newest verification has covered. */
  private void recordRows(Blackboard blackboard, EvacuationDecision watching, MonotonicTime now) {
    Optional<MonotonicTime> verifiedAt = blackboard.get(EngineEntries.VERIFIED_AT);
    boolean isNewVerification = !verifiedAt.equals(lastVerifiedAt);
    lastVerifiedAt = verifiedAt;
    // As with the keys: the operator writes again what a store that came back has lost.
    boolean isReliable = verifiedAt.equals(blackboard.get(EngineEntries.KEYS_VERIFIED_AT));
    for (AvailabilityZone zone : blackboard.get(EngineEntries.WATCHED_ZONES)) {
      if (isRequested(blackboard, zone)) {
        watching.requested(zone, now);
      } else if (isNewVerification) {
        verifiedAt.ifPresent(at -> watching.notRequested(zone, at, isReliable));
      }
    }
  }

  private static boolean isRequested(Blackboard blackboard, AvailabilityZone zone) {
    return RowKey.ofEvacuation(zone)
        .filter(row -> KnownRows.row(blackboard, row).exists())
        .isPresent();
  }

  private void publish(
      Blackboard blackboard, Map<AvailabilityZone, MonotonicTime> deadlines, MonotonicTime now) {
    Evacuations old = blackboard.get(EngineEntries.EVACUATIONS);
    reportedWithoutServers.retainAll(deadlines.keySet());
    Map<AvailabilityZone, MonotonicTime> current = new HashMap<>();
    deadlines.forEach(
        (zone, deadline) -> {
          if (old.deadlines().containsKey(zone)) {
            current.put(zone, deadline);
            return;
          }
          long servers = serverCount(blackboard, zone);
          if (servers > 0) {
            current.put(zone, deadline);
            logStart(zone, servers, deadline, now);
          } else if (reportedWithoutServers.add(zone)) {
            log.write("evacuation-without-servers", "zone", zone);
          }
        });
    old.deadlines().keySet().stream()
        .filter(zone -> !current.containsKey(zone))
        .forEach(zone -> log.write("evacuation-ended", "zone", zone));
    if (!current.equals(old.deadlines())) {
      blackboard.put(EngineEntries.EVACUATIONS, new Evacuations(current));
    }
  }

  private void logStart(
      AvailabilityZone zone, long servers, MonotonicTime deadline, MonotonicTime now) {
    log.write(
        "evacuation-started",
        "zone",
        zone,
        "servers",
        servers,
        "leftMs",
        Math.max(0, deadline.since(now).toMillis()));
  }

  private static long serverCount(Blackboard blackboard, AvailabilityZone zone) {
    return blackboard.get(EngineEntries.SERVERS).values().stream()
        .filter(entry -> entry.zone().equals(zone))
        .count();
  }

  /** Watches the zones of the settings, of listed servers, and those that are evacuated. */
  private void chooseZones(Blackboard blackboard, Set<AvailabilityZone> requested) {
    Map<BackendServerId, ServerEntry> servers = blackboard.get(EngineEntries.SERVERS);
    if (hasChosen && servers == lastServers && requested.equals(lastRequested)) {
      return;
    }
    hasChosen = true;
    lastServers = servers;
    lastRequested = requested;
    Set<AvailabilityZone> watched = new TreeSet<>(settings.zones());
    watched.addAll(requested);
    Set<AvailabilityZone> listed =
        servers.values().stream()
            .map(ServerEntry::zone)
            .filter(zone -> !watched.contains(zone))
            .collect(Collectors.toCollection(TreeSet::new));
    listed.stream().filter(this::isWatchable).limit(MAXIMUM_OTHER_ZONES).forEach(watched::add);
    watched.removeIf(zone -> !isWatchable(zone));
    reportedUnwatched.retainAll(listed);
    listed.stream()
        .filter(zone -> !watched.contains(zone))
        .filter(reportedUnwatched::add)
        .forEach(zone -> log.write("evacuation-zone-unwatched", "zone", zone));
    if (!watched.equals(blackboard.get(EngineEntries.WATCHED_ZONES))) {
      blackboard.put(EngineEntries.WATCHED_ZONES, Set.copyOf(watched));
    }
  }

  private boolean isWatchable(AvailabilityZone zone) {
    return RowKey.ofEvacuation(zone).isPresent();
  }
}
