package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Inputs;
import org.persimmonwalk.blackboard.NextRun;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.control.PrimaryView;
import org.persimmonwalk.engine.control.StoreTime;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Derives the primary of each group from its leadership row, or from the servers' own entries while
 * the row doesn't exist. A group whose row hasn't been verified has no primary yet. Writes the
 * primaries entry.
 */
public final class PrimaryViewController implements Controller {
  private final DecisionLog log;
  private final ParsedRows<Optional<Leadership>> leaderships = ParsedRows.of(Leadership::parse);

  /** Keeps a primary in use until the switch to another one can be announced. */
  private final Duration missingRetention;

  private final Map<DatabaseGroupId, LastSeen> lastSeen = new HashMap<>();
  private MonotonicTime lastRunAt = MonotonicTime.of(Long.MIN_VALUE / 2);

  /** Whether the view of a group depends on the store's time, which changes all the time. */
  private boolean hasPlannedSwitch;

  private PrimaryViewController(EngineTimings timings, DecisionLog log) {
    this.missingRetention = timings.missingRetention();
    this.log = log;
  }

  /** Returns a controller that knows no primary. */
  public static PrimaryViewController create(EngineTimings timings, DecisionLog log) {
    return new PrimaryViewController(timings, log);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    Map<DatabaseGroupId, PrimaryView> old = blackboard.get(EngineEntries.PRIMARIES);
    Map<DatabaseGroupId, PrimaryView> views = new HashMap<>();
    hasPlannedSwitch = false;
    for (DatabaseGroupId group : blackboard.get(EngineEntries.CONFIGURATION).groups().keySet()) {
      PrimaryView view = view(blackboard, group, context.now());
      views.put(group, view);
      if (!view.equals(old.get(group))) {
        log.write(
            "primary-changed",
            "group",
            group,
            "server",
            view.server().map(ServerEntry::id).map(BackendServerId::value).orElse("none"),
            "planned",
            view.endsAt().isPresent(),
            "rowUnreadable",
            Leadership.isUnreadable(KnownRows.row(blackboard, Leadership.row(group))));
      }
    }
    if (!views.equals(old)) {
      blackboard.put(EngineEntries.PRIMARIES, Map.copyOf(views));
    }
    lastRunAt = context.now();
  }

  @Override
  public Optional<Inputs> inputs() {
    return Optional.of(
        Inputs.ofEntries(
            EngineEntries.CONFIGURATION,
            EngineEntries.VERIFIED_GROUPS,
            EngineEntries.SERVERS,
            EngineEntries.STORE_ROWS,
            EngineEntries.REMEMBERED_ROWS,
            EngineEntries.STORE_ERA));
  }

  @Override
  public NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
    if (hasPlannedSwitch) {
      return NextRun.inNextRound(now);
    }
    NextRun next = NextRun.onInput();
    for (LastSeen seen : lastSeen.values()) {
      next = seen.isListed() ? next : next.orAfter(seen.at(), missingRetention, now);
    }
    return next;
  }

  private PrimaryView view(Blackboard blackboard, DatabaseGroupId group, MonotonicTime now) {
    // The row of a group that a new configuration has added is not known before it is verified.
    if (!blackboard.get(EngineEntries.VERIFIED_GROUPS).contains(group)) {
      return PrimaryView.NONE;
    }
    Optional<StoredRow> inForce = LeadershipInForce.of(blackboard, group);
    if (inForce.isEmpty()) {
      return PrimaryView.NONE;
    }
    Optional<Leadership> row = leaderships.parse(Leadership.row(group), inForce.get());
    if (row.isEmpty()) {
      return stable(listedOrLastSeen(group, selfDeclaredPrimary(blackboard, group), now));
    }
    Leadership leadership = row.get();
    if (leadership.phase() == Leadership.Phase.MOVING) {
      return PrimaryView.NONE;
    }
    Optional<ServerEntry> listed =
        Optional.ofNullable(blackboard.get(EngineEntries.SERVERS).get(leadership.server()));
    boolean restarted =
        listed.isPresent() && listed.get().startedAtMillis() != leadership.startedAtMillis();
    if (restarted) {
      return PrimaryView.NONE;
    }
    Optional<ServerEntry> server =
        listedOrLastSeen(group, listed, now)
            .filter(entry -> entry.id().equals(leadership.server()));
    if (leadership.phase() == Leadership.Phase.STABLE) {
      return stable(server);
    }
    hasPlannedSwitch = true;
    Optional<StoreTime> time = blackboard.get(EngineEntries.STORE_TIME);
    return new PrimaryView(
        server, time.map(reading -> reading.earliestLocalTime(leadership.switchAtMillis())));
  }

  private static PrimaryView stable(Optional<ServerEntry> server) {
    return new PrimaryView(server, Optional.empty());
  }

  private static Optional<ServerEntry> selfDeclaredPrimary(
      Blackboard blackboard, DatabaseGroupId group) {
    ServerEntry first = null;
    for (ServerEntry entry : blackboard.get(EngineEntries.SERVERS).values()) {
      boolean declared = entry.group().equals(group) && entry.primary();
      if (declared && (first == null || entry.id().compareTo(first.id()) < 0)) {
        first = entry;
      }
    }
    return Optional.ofNullable(first);
  }

  private Optional<ServerEntry> listedOrLastSeen(
      DatabaseGroupId group, Optional<ServerEntry> listed, MonotonicTime now) {
    if (listed.isPresent()) {
      lastSeen.put(group, new LastSeen(listed.get(), now, true));
      return listed;
    }
    // A server that was listed in the last run was so until now: a change would have caused a run.
    lastSeen.computeIfPresent(
        group,
        (id, seen) ->
            new LastSeen(
                seen.entry(),
                seen.isListed() && seen.at().equals(lastRunAt) ? now : seen.at(),
                false));
    return Optional.ofNullable(lastSeen.get(group))
        .filter(seen -> now.since(seen.at()).compareTo(missingRetention) < 0)
        .map(LastSeen::entry);
  }

  private record LastSeen(ServerEntry entry, MonotonicTime at, boolean isListed) {}
}
