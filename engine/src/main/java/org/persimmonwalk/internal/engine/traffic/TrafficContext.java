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
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.PrimaryView;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.internal.engine.control.PromotionController;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.port.MonotonicClock;

/** What the classes of the traffic thread share. */
public record TrafficContext(
    EngineSettings settings,
    MonotonicClock clock,
    TrafficScheduler scheduler,
    BackendConnector connector,
    Supplier<Snapshot> snapshot,
    Consumer<Observation> observations,
    DecisionLog log,
    TrafficMeter meter,
    SuspensionDetector suspension) {

  /** A withdrawn key must not run longer than the installation says; this is kept for the way. */
  private static final Duration REVOCATION_MARGIN = Duration.ofMillis(500);

  /**
   * Verifications come every second and reach a host up to 0.3 s later, so a host with an older one
   * has missed one and sends new callers elsewhere. The platform waits for two such reports, 1 s
   * apart, so a single one does no harm.
   */
  private static final Duration READY_AGE = Duration.ofMillis(1600);

  /**
   * The platform needs up to 2 s to send callers elsewhere; by then the primaries cannot be used
   * any more, so callers that rest do better to connect again.
   */
  private static final Duration MOVING_AGE = Duration.ofMillis(3700);

  MonotonicTime now() {
    return clock.now();
  }

  <T> T entry(EntryKey<T> key) {
    return snapshot.get().get(key);
  }

  void post(Observation observation) {
    observations.accept(observation);
  }

  /** Returns whether keys may be relied on: the configuration was verified recently enough. */
  boolean keysAreVerified() {
    return verifiedWithin(settings.keyRevocation().minus(REVOCATION_MARGIN));
  }

  /** Returns whether new callers are served well here. */
  boolean isReadyForCallers() {
    return verifiedWithin(READY_AGE);
  }

  /** Returns whether callers should stay here. */
  boolean keepsCallers() {
    return verifiedWithin(MOVING_AGE);
  }

  /** Returns the primary of a group, if its leadership was verified recently enough to use it. */
  Optional<ServerEntry> primary(DatabaseGroupId group) {
    if (!verifiedWithin(PromotionController.RELIANCE)) {
      return Optional.empty();
    }
    return entry(EngineEntries.PRIMARIES).getOrDefault(group, PrimaryView.NONE).at(now());
  }

  /** Returns whether the given process is the primary that may be used. */
  boolean isPrimary(ServerEntry server) {
    return primary(server.group()).filter(server::sameProcess).isPresent();
  }

  private boolean verifiedWithin(Duration age) {
    MonotonicTime resumedAt = suspension.lastResumedAt();
    MonotonicTime now = now();
    return entry(EngineEntries.VERIFIED_AT)
        .filter(at -> !at.isBefore(resumedAt))
        .filter(at -> now.since(at).compareTo(age) < 0)
        .isPresent();
  }
}
