package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.ServiceBounds;
import org.persimmonwalk.engine.control.StoreVersion;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.MonotonicTime;

/** Reads from the blackboard the store rows that this host knows, and their versions. */
final class KnownRows {

  private KnownRows() {}

  /**
   * Returns the known versions of the configuration row, the leadership rows, the row of the
   * settled era and the evacuation rows. A transaction that expects them verifies these rows.
   */
  static Map<RowKey, StoreVersion> versionsToVerify(Blackboard blackboard) {
    Map<RowKey, StoreVersion> expected = new HashMap<>();
    expected.put(RowKey.CONFIGURATION, version(blackboard, RowKey.CONFIGURATION));
    if (blackboard.get(EngineEntries.STORE_ERA).isKnown()) {
      expected.put(StoreEraRow.ROW, version(blackboard, StoreEraRow.ROW));
    }
    for (DatabaseGroupId group : blackboard.get(EngineEntries.CONFIGURATION).groups().keySet()) {
      RowKey row = Leadership.row(group);
      expected.put(row, version(blackboard, row));
    }
    evacuationRows(blackboard).forEach(row -> expected.put(row, version(blackboard, row)));
    return expected;
  }

  /**
   * Returns the known versions of all rows that a verification reads: those above, and those that
   * name the relays and tell the size of the fleet.
   */
  static Map<RowKey, StoreVersion> versionsOfVerification(
      Blackboard blackboard, Set<AvailabilityZone> zones) {
    Map<RowKey, StoreVersion> expected = versionsToVerify(blackboard);
    expected.putAll(relayVersions(blackboard, zones));
    expected.putAll(FleetSizeController.versions(blackboard, zones));
    return expected;
  }

  /** Returns the versions to verify without the configuration row, which may be large. */
  static Map<RowKey, StoreVersion> versionsBesideConfiguration(Blackboard blackboard) {
    Map<RowKey, StoreVersion> expected = versionsToVerify(blackboard);
    expected.remove(RowKey.CONFIGURATION);
    return expected;
  }

  /**
   * Returns the known versions of the rows that a call for tokens expects beside the rate rows. A
   * relay's call reads all that a verification reads, and so replaces one.
   */
  static Map<RowKey, StoreVersion> versionsOfTokenCall(
      Blackboard blackboard, Set<AvailabilityZone> zones, boolean isRelay) {
    Map<RowKey, StoreVersion> expected =
        isRelay ? versionsOfVerification(blackboard, zones) : versionsToVerify(blackboard);
    if (blackboard.get(EngineEntries.CONFIGURATION_LEFT_OUT)) {
      expected.remove(RowKey.CONFIGURATION);
    }
    return expected;
  }

  /** Returns whether the bound within which a newer configuration must be in force is not over. */
  static boolean isConfigurationValid(
      Blackboard blackboard, ServiceBounds bounds, MonotonicTime now) {
    Duration validity = EngineTimings.configurationValidity(bounds);
    return blackboard
        .get(EngineEntries.CONFIGURATION_VERIFIED_AT)
        .filter(at -> now.since(at).compareTo(validity) < 0)
        .isPresent();
  }

  /** Returns the rows whose presence evacuates one of the watched zones. */
  static Set<RowKey> evacuationRows(Blackboard blackboard) {
    return blackboard.get(EngineEntries.WATCHED_ZONES).stream()
        .flatMap(zone -> RowKey.ofEvacuation(zone).stream())
        .collect(Collectors.toSet());
  }

  /** Returns the known versions of the rows that name the relays of the given zones. */
  static Map<RowKey, StoreVersion> relayVersions(
      Blackboard blackboard, Set<AvailabilityZone> zones) {
    Map<RowKey, StoreVersion> versions = new HashMap<>();
    for (AvailabilityZone zone : zones) {
      RowKey row = RelayController.row(zone);
      versions.put(row, version(blackboard, row));
    }
    return versions;
  }

  /** Returns the row as last seen in the current era; absent if it has not been seen there. */
  static StoredRow row(Blackboard blackboard, RowKey row) {
    StoredRow known = blackboard.get(EngineEntries.STORE_ROWS).get(row);
    return known == null ? StoredRow.absent(blackboard.get(EngineEntries.STORE_ERA)) : known;
  }

  /**
   * Returns the row as last seen in any era, for rows that only save calls and on which no rule
   * rests.
   */
  static StoredRow rowOfAnyEra(Blackboard blackboard, RowKey row) {
    StoredRow known = row(blackboard, row);
    return known.exists() ? known : blackboard.get(EngineEntries.REMEMBERED_ROWS).row(row);
  }

  /** Returns the version of the row as last seen in the current era. */
  static StoreVersion version(Blackboard blackboard, RowKey row) {
    return row(blackboard, row).expectedVersion();
  }
}
