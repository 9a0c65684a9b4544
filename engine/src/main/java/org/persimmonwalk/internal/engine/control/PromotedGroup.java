package org.persimmonwalk.internal.engine.control;

import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.engine.GroupSettings;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;

/** What the blackboard tells about a group whose primary is replaced. */
record PromotedGroup(DatabaseGroupId id) {

  /** Returns the listed servers of the group, including those that are draining. */
  Map<BackendServerId, ServerEntry> members(Blackboard blackboard) {
    return blackboard.get(EngineEntries.SERVERS).values().stream()
        .filter(entry -> entry.group().equals(id))
        .collect(Collectors.toMap(ServerEntry::id, entry -> entry));
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
