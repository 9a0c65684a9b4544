package org.persimmonwalk.internal.engine.control;

import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.engine.GroupSettings;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.Evacuations;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;

/** What the blackboard tells about a group whose primary is replaced. */
record PromotedGroup(DatabaseGroupId id) {

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

  PromotionRecord record(Blackboard blackboard) {
    return PromotionRecord.parse(KnownRows.row(blackboard, PromotionRecord.row(id)));
  }
}
