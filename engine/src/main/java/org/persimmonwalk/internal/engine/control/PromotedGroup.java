package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.engine.GroupSettings;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.ColdBudget;
import org.persimmonwalk.engine.control.ColdServer;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.Evacuations;
import org.persimmonwalk.engine.control.ServerStatusRead;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.MonotonicTime;

/** What the blackboard tells about a group whose primary is replaced. */
record PromotedGroup(DatabaseGroupId id) {
  /** {@link ColdBudget} keeps two requests a second for the status of a cold server. */
  private static final Duration COLD_STATUS_PAUSE = Duration.ofMillis(510);

  /**
   * Returns the listed servers of the group, including those that are draining. A server of an
   * evacuated zone counts as draining: it is asked for its log, but can't stay the primary.
   */
  Map<BackendServerId, ServerEntry> members(Blackboard blackboard) {
    Evacuations evacuations = blackboard.get(EngineEntries.EVACUATIONS);
    return listed(blackboard)
        .collect(
            Collectors.toMap(
                ServerEntry::id,
                entry -> evacuations.isEvacuated(entry) ? entry.asDraining() : entry));
  }

  /** Returns whether all listed servers of the group are in evacuated zones; there is one. */
  boolean isWhollyEvacuated(Blackboard blackboard) {
    Evacuations evacuations = blackboard.get(EngineEntries.EVACUATIONS);
    return !evacuations.equals(Evacuations.NONE)
        && listed(blackboard).findAny().isPresent()
        && listed(blackboard).allMatch(evacuations::isEvacuated);
  }

  /** Returns whether the server is in an evacuated zone and another one can replace it. */
  boolean mustLeave(Blackboard blackboard, ServerEntry primary) {
    Evacuations evacuations = blackboard.get(EngineEntries.EVACUATIONS);
    return evacuations.isEvacuated(primary)
        && listed(blackboard)
            .filter(entry -> !entry.id().equals(primary.id()))
            .anyMatch(entry -> !entry.draining() && !evacuations.isEvacuated(entry));
  }

  private Stream<ServerEntry> listed(Blackboard blackboard) {
    return blackboard.get(EngineEntries.SERVERS).values().stream()
        .filter(entry -> entry.group().equals(id));
  }

  int synchronousReplicas(Blackboard blackboard) {
    return Optional.ofNullable(blackboard.get(EngineEntries.CONFIGURATION).groups().get(id))
        .map(GroupSettings::synchronousReplicas)
        .orElse(0);
  }

  /** Returns the servers of the group that are, or may be, slow because they have just started. */
  Set<BackendServerId> coldServers(Blackboard blackboard) {
    return blackboard.get(EngineEntries.COLD_SERVERS).values().stream()
        .map(ColdServer::server)
        .filter(server -> server.group().equals(id))
        .map(ServerEntry::id)
        .collect(Collectors.toSet());
  }

  /**
   * Returns why this host can't promote a server of the group now; empty if it can.
   *
   * @param resumedAt when the host last resumed after a suspension
   */
  Optional<String> obstacle(
      Blackboard blackboard, EngineSettings settings, MonotonicTime resumedAt, MonotonicTime now) {
    if (isWhollyEvacuated(blackboard)) {
      return Optional.of("all servers are in evacuated zones");
    }
    return mayAskColdServers(blackboard, settings, resumedAt, now)
        ? Optional.empty()
        : Optional.of("only relays ask cold servers");
  }

  /**
   * Returns whether this host may ask all servers of the group for their status, which no promotion
   * should go without: the old primary may have commits that no replica has. Only a relay may ask a
   * cold server; any host may promote if the bound leaves no relay a single request.
   */
  private boolean mayAskColdServers(
      Blackboard blackboard, EngineSettings settings, MonotonicTime resumedAt, MonotonicTime now) {
    if (coldServers(blackboard).isEmpty() || settings.coldBounds().isEmpty()) {
      return true;
    }
    ColdBudget.Role role =
        new ColdBudget.Role(
            blackboard.get(EngineEntries.RELAYING_SINCE),
            blackboard.get(EngineEntries.VERIFIED_AT),
            resumedAt);
    GroupSettings group = blackboard.get(EngineEntries.CONFIGURATION).groups().get(id);
    boolean hasPart =
        group != null && settings.coldBounds().get().zonePart(group, settings.zones().size()) > 0;
    return role.maySend(now) || !hasPart;
  }

  /** Returns the pause between two status requests to the same servers. */
  Duration statusPause(Blackboard blackboard, Set<BackendServerId> asked, Duration usual) {
    return Collections.disjoint(coldServers(blackboard), asked) ? usual : COLD_STATUS_PAUSE;
  }

  /** Returns the poll that has these answers. */
  StatusPoll poll(
      Blackboard blackboard,
      Map<BackendServerId, ServerEntry> listed,
      Map<BackendServerId, ServerEntry> lapsed,
      Map<BackendServerId, Optional<ServerStatusRead.Status>> statuses,
      BackendServerId oldPrimary) {
    return StatusPoll.of(
        listed, lapsed, statuses, oldPrimary, record(blackboard).term(), coldServers(blackboard));
  }

  PromotionRecord record(Blackboard blackboard) {
    return PromotionRecord.parse(KnownRows.row(blackboard, PromotionRecord.row(id)));
  }
}
