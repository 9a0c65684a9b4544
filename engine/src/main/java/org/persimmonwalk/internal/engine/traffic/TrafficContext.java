package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.persimmonwalk.blackboard.EntryKey;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.engine.BackendConnector;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.SuspensionDetector;
import org.persimmonwalk.engine.TrafficScheduler;
import org.persimmonwalk.engine.control.ColdBudget;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.control.PrimaryView;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.port.RandomSource;

/**
 * Dependencies that the classes of the traffic thread share, and the checks on how recently the
 * control state was verified.
 */
public record TrafficContext(
    EngineSettings settings,
    EngineTimings timings,
    MonotonicClock clock,
    RandomSource random,
    TrafficScheduler scheduler,
    BackendConnector connector,
    Supplier<Snapshot> snapshot,
    Consumer<Observation> observations,
    DecisionLog log,
    TrafficMeter meter,
    SuspensionDetector suspension) {

  /**
   * Subtracted from the configured key revocation time, which a withdrawn key must not outlive, to
   * allow for statements in transit to a server.
   */
  private static final Duration REVOCATION_MARGIN = Duration.ofMillis(500);

  /**
   * A host whose last verification is older closes idle sessions. The platform needs up to 2 s to
   * send callers elsewhere; by then this host may not use the primaries any more, so idle callers
   * are better off reconnecting.
   */
  private static final Duration KEEP_CALLERS_MAXIMUM_AGE = Duration.ofMillis(3700);

  MonotonicTime now() {
    return clock.now();
  }

  <T> T entry(EntryKey<T> key) {
    return snapshot.get().get(key);
  }

  void post(Observation observation) {
    observations.accept(observation);
  }

  /** Returns whether the configuration was verified recently enough to accept its keys. */
  boolean keysAreVerified() {
    return isWithin(
        EngineEntries.KEYS_VERIFIED_AT, settings.keyRevocation().minus(REVOCATION_MARGIN));
  }

  /**
   * Returns whether the platform should send new callers to this host, which it should not if the
   * host has missed a verification. The platform waits for two reports, 1 s apart, so a single one
   * does no harm.
   */
  boolean isReadyForCallers() {
    return verifiedWithin(timings.readyMaximumAge()) && configurationIsVerified();
  }

  /** Returns whether idle sessions should stay open on this host. */
  boolean shouldKeepCallers() {
    return verifiedWithin(KEEP_CALLERS_MAXIMUM_AGE)
        && isWithin(EngineEntries.CONFIGURATION_VERIFIED_AT, KEEP_CALLERS_MAXIMUM_AGE);
  }

  /** Returns whether the bound within which a newer configuration must be in force is not over. */
  private boolean configurationIsVerified() {
    return isWithin(
        EngineEntries.CONFIGURATION_VERIFIED_AT,
        EngineTimings.configurationValidity(settings.bounds()));
  }

  /** Returns the primary of a group, if its leadership was verified recently enough to use it. */
  Optional<ServerEntry> primary(DatabaseGroupId group) {
    if (!verifiedWithin(EngineTimings.VERIFICATION_VALIDITY) || !configurationIsVerified()) {
      return Optional.empty();
    }
    return entry(EngineEntries.PRIMARIES).getOrDefault(group, PrimaryView.NONE).at(now());
  }

  /** Returns whether the given process is the primary of its group and may be used. */
  boolean isPrimary(ServerEntry server) {
    return primary(server.group()).filter(server::sameProcess).isPresent();
  }

  /** Returns whether the zone of the server is evacuated, so that reads go elsewhere. */
  boolean isEvacuated(ServerEntry server) {
    return entry(EngineEntries.EVACUATIONS).isEvacuated(server);
  }

  /** Returns whether nothing may be sent to the server any more because of an evacuation. */
  boolean isPastEvacuationDeadline(ServerEntry server) {
    return entry(EngineEntries.EVACUATIONS).isPastDeadline(server, now());
  }

  /** Returns what decides whether this host may send to cold servers. */
  ColdBudget.Role coldRole() {
    return new ColdBudget.Role(
        entry(EngineEntries.RELAYING_SINCE),
        entry(EngineEntries.VERIFIED_AT),
        suspension.lastResumedAt());
  }

  private boolean verifiedWithin(Duration age) {
    return isWithin(EngineEntries.VERIFIED_AT, age);
  }

  private boolean isWithin(EntryKey<Optional<MonotonicTime>> verifiedAt, Duration age) {
    MonotonicTime resumedAt = suspension.lastResumedAt();
    MonotonicTime now = now();
    return entry(verifiedAt)
        .filter(at -> !at.isBefore(resumedAt))
        .filter(at -> now.since(at).compareTo(age) < 0)
        .isPresent();
  }
}
