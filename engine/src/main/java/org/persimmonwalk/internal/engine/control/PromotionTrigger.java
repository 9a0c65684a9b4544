package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.ColdServer;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.PrimaryView;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Decides whether the primary of a group must be replaced, and whether the old primary serves until
 * the switch.
 */
final class PromotionTrigger {
  /**
   * How long an entry must be missing. A single list may lack an entry that another writer is just
   * replacing.
   */
  static final Duration MISSING_DELAY = Duration.ofMillis(1000);

  /**
   * How long another server must claim the role. A new primary reports its role at once, and a host
   * reads the list every 2 s.
   */
  static final Duration DEMOTED_DELAY = Duration.ofMillis(5000);

  private final Map<DatabaseGroupId, MonotonicTime> missingSince = new HashMap<>();
  private final Map<DatabaseGroupId, MonotonicTime> demotedSince = new HashMap<>();

  private PromotionTrigger() {}

  static PromotionTrigger create() {
    return new PromotionTrigger();
  }

  /**
   * Returns the change to announce; empty if the primary stays. The phase tells whether the old
   * primary still serves until the switch.
   */
  Optional<Leadership> check(
      Blackboard blackboard, DatabaseGroupId group, Optional<Leadership> row, MonotonicTime now) {
    PromotedGroup promoted = new PromotedGroup(group);
    if (promoted.isWhollyEvacuated(blackboard)) {
      // No server that was promoted could be used.
      missingSince.remove(group);
      demotedSince.remove(group);
      return Optional.empty();
    }
    PrimaryView view =
        blackboard.get(EngineEntries.PRIMARIES).getOrDefault(group, PrimaryView.NONE);
    Optional<ServerEntry> primary = view.at(now);
    if (primary.isEmpty()) {
      BackendServerId old = row.map(Leadership::server).orElse(Leadership.NO_SERVER);
      long started = row.map(Leadership::startedAtMillis).orElse(0L);
      return hasLasted(missingSince, group, hasServers(blackboard, group), now, MISSING_DELAY)
          ? Optional.of(new Leadership(Leadership.Phase.MOVING, old, started, 0))
          : Optional.empty();
    }
    ServerEntry server = primary.get();
    if (blackboard.get(EngineEntries.UNREACHABLE_PRIMARIES).contains(server.id())) {
      return Optional.of(change(Leadership.Phase.MOVING, server));
    }
    if (promoted.mustLeave(blackboard, server)) {
      return Optional.of(change(Leadership.Phase.SWITCHING, server));
    }
    ServerEntry listed = blackboard.get(EngineEntries.SERVERS).get(server.id());
    if (hasLasted(missingSince, group, listed == null, now, MISSING_DELAY)) {
      return Optional.of(change(Leadership.Phase.SWITCHING, server));
    }
    if (listed != null && (listed.draining() || isColdBesideWarmReplica(blackboard, listed))) {
      return Optional.of(change(Leadership.Phase.SWITCHING, server));
    }
    boolean demoted =
        listed != null && !listed.primary() && hasOtherPrimary(blackboard, group, server);
    return hasLasted(demotedSince, group, demoted, now, DEMOTED_DELAY)
        ? Optional.of(change(Leadership.Phase.MOVING, server))
        : Optional.empty();
  }

  /** Returns whether no condition is waited for that leads to a replacement if it lasts. */
  boolean isCalm() {
    return missingSince.isEmpty() && demotedSince.isEmpty();
  }

  /**
   * Returns whether the primary reports to be cold and a replica could serve in its place. A lost
   * connection alone is no reason to replace it.
   */
  private static boolean isColdBesideWarmReplica(Blackboard blackboard, ServerEntry primary) {
    Map<BackendServerId, ColdServer> cold = blackboard.get(EngineEntries.COLD_SERVERS);
    boolean isCold = cold.containsKey(primary.id()) && cold.get(primary.id()).isReported();
    return isCold
        && blackboard.get(EngineEntries.SERVERS).values().stream()
            .anyMatch(
                entry ->
                    entry.group().equals(primary.group())
                        && !entry.draining()
                        && !cold.containsKey(entry.id()));
  }

  private static Leadership change(Leadership.Phase phase, ServerEntry server) {
    return new Leadership(phase, server.id(), server.startedAtMillis(), 0);
  }

  private static boolean hasServers(Blackboard blackboard, DatabaseGroupId group) {
    return blackboard.get(EngineEntries.SERVERS).values().stream()
        .anyMatch(entry -> entry.group().equals(group));
  }

  private static boolean hasOtherPrimary(
      Blackboard blackboard, DatabaseGroupId group, ServerEntry server) {
    return blackboard.get(EngineEntries.SERVERS).values().stream()
        .anyMatch(
            entry ->
                entry.group().equals(group) && entry.primary() && !entry.id().equals(server.id()));
  }

  private static boolean hasLasted(
      Map<DatabaseGroupId, MonotonicTime> since,
      DatabaseGroupId group,
      boolean holds,
      MonotonicTime now,
      Duration minimum) {
    if (!holds) {
      since.remove(group);
      return false;
    }
    return now.since(since.computeIfAbsent(group, unused -> now)).compareTo(minimum) >= 0;
  }
}
