package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Inputs;
import org.persimmonwalk.blackboard.NextRun;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.StoreVersion;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.control.TransactionTag;
import org.persimmonwalk.engine.control.ZoneReply;
import org.persimmonwalk.engine.control.ZoneRequestEnded;
import org.persimmonwalk.engine.control.ZoneRequestReceived;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Counts the running entry hosts. Each relay counts those of its zone, which all send it requests,
 * and records the number in the store when it has changed. Writes the fleet size entry, by which
 * hosts divide what is limited for all of them together.
 */
public final class FleetSizeController implements Controller {
  /** A host without a request for this long is gone; it sends about four a second. */
  static final Duration PRESENCE_TIMEOUT = Duration.ofSeconds(5);

  /** A relay must have heard from all hosts of its zone before it records how many there are. */
  static final Duration WARM_UP = Duration.ofMillis(1500);

  /** The minimum pause between two records; restarts in turn change the number all the time. */
  static final Duration MIN_PAUSE = Duration.ofSeconds(5);

  /** A record that is off by less than this part is kept. */
  private static final double TOLERATED_CHANGE = 0.1;

  private static final int MAX_HOSTS = 1_000_000;
  private static final String PURPOSE = "record-fleet-size";
  private static final String TABLE = "fleet";

  private final EngineSettings settings;
  private final DecisionLog log;
  private final Map<EntryHostId, MonotonicTime> lastRequestAt = new HashMap<>();
  private final Map<RowKey, StoreVersion> unreadableVersions = new HashMap<>();
  private Optional<MonotonicTime> relayingSince = Optional.empty();
  private Optional<MonotonicTime> recordedAt = Optional.empty();
  private int sizeAtRelay;
  private long serial;

  private FleetSizeController(EngineSettings settings, DecisionLog log) {
    this.settings = settings;
    this.log = log;
  }

  /** Returns a controller that has heard from no other host. */
  public static FleetSizeController create(EngineSettings settings, DecisionLog log) {
    return new FleetSizeController(settings, log);
  }

  /** Returns the key of the row that records the number of hosts of a zone. */
  static RowKey row(AvailabilityZone zone) {
    return RowKey.ofName(TABLE, zone.value());
  }

  /** Returns the known versions of the records of the given zones. */
  static Map<RowKey, StoreVersion> versions(Blackboard blackboard, Set<AvailabilityZone> zones) {
    Map<RowKey, StoreVersion> versions = new HashMap<>();
    for (AvailabilityZone zone : zones) {
      versions.put(row(zone), KnownRows.version(blackboard, row(zone)));
    }
    return versions;
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    MonotonicTime now = context.now();
    blackboard
        .observations(ZoneRequestReceived.class)
        .forEach(received -> lastRequestAt.put(received.request().from(), now));
    lastRequestAt.values().removeIf(at -> now.since(at).compareTo(PRESENCE_TIMEOUT) > 0);
    blackboard
        .observations(ZoneRequestEnded.class)
        .forEach(
            ended ->
                ended
                    .reply()
                    .filter(ZoneReply::isRelay)
                    .ifPresent(reply -> sizeAtRelay = reply.fleetSize()));
    boolean isRelay = blackboard.get(EngineEntries.RELAY_ROLE).isRelay();
    if (!isRelay) {
      relayingSince = Optional.empty();
    } else if (relayingSince.isEmpty()) {
      relayingSince = Optional.of(now);
    }
    boolean isWarm =
        relayingSince.filter(since -> now.since(since).compareTo(WARM_UP) >= 0).isPresent();
    if (isWarm) {
      recordIfChanged(blackboard, now);
    }
    int size = isRelay ? sizeOfAllZones(blackboard, isWarm) : sizeAtRelay;
    if (size != blackboard.get(EngineEntries.FLEET_SIZE)) {
      blackboard.put(EngineEntries.FLEET_SIZE, size);
    }
  }

  @Override
  public Optional<Inputs> inputs() {
    return Optional.of(
        Inputs.ofObservations(ZoneRequestReceived.class, ZoneRequestEnded.class)
            .andEntries(
                EngineEntries.RELAY_ROLE,
                EngineEntries.STORE_ROWS,
                EngineEntries.STORE_ERA,
                EngineEntries.REMEMBERED_ROWS));
  }

  @Override
  public NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
    if (relayingSince.isEmpty()) {
      return NextRun.onInput();
    }
    NextRun next = NextRun.onInput().orAfter(relayingSince.get(), WARM_UP, now);
    if (recordedAt.isPresent()) {
      next = next.orAfter(recordedAt.get(), MIN_PAUSE, now);
    }
    for (MonotonicTime at : lastRequestAt.values()) {
      next = next.orAt(at.plus(PRESENCE_TIMEOUT));
    }
    return next;
  }

  private int ownCount() {
    return lastRequestAt.size() + 1;
  }

  /** Returns the sum of the recorded numbers; unknown until the own zone's is. */
  private int sizeOfAllZones(Blackboard blackboard, boolean isWarm) {
    int others =
        settings.zones().stream()
            .filter(zone -> !zone.equals(settings.zone()))
            .mapToInt(zone -> recorded(blackboard, zone))
            .sum();
    int own = isWarm ? ownCount() : recorded(blackboard, settings.zone());
    return own == 0 ? 0 : own + others;
  }

  /** Returns the recorded number of hosts of a zone; 0 if there is none that can be read. */
  private int recorded(Blackboard blackboard, AvailabilityZone zone) {
    StoredRow row = KnownRows.rowOfAnyEra(blackboard, row(zone));
    if (!row.exists()) {
      return 0;
    }
    try {
      return Math.max(0, Math.min(MAX_HOSTS, Integer.parseInt(row.value())));
    } catch (NumberFormatException e) {
      logUnreadable(row(zone), row.version());
      return 0;
    }
  }

  private void logUnreadable(RowKey row, StoreVersion version) {
    if (!Objects.equals(unreadableVersions.put(row, version), version)) {
      log.write("row-unreadable", "row", row, "rowVersion", version);
    }
  }

  private void recordIfChanged(Blackboard blackboard, MonotonicTime now) {
    int recorded = recorded(blackboard, settings.zone());
    boolean hasChanged = Math.abs(ownCount() - recorded) > recorded * TOLERATED_CHANGE;
    boolean isPaused = recordedAt.filter(at -> now.since(at).compareTo(MIN_PAUSE) < 0).isPresent();
    if (hasChanged && !isPaused) {
      recordedAt = Optional.of(now);
      serial++;
      RowKey row = row(settings.zone());
      blackboard.submit(
          new RunTransaction(
              TransactionTag.of(PURPOSE, serial),
              Map.of(row, KnownRows.version(blackboard, row)),
              Map.of(row, Integer.toString(ownCount()))));
    }
  }
}
