package org.persimmonwalk.internal.engine.control;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.engine.control.ServerStatusRead.Status;
import org.persimmonwalk.id.BackendServerId;

/**
 * The answers of a group's servers about their role and log, gathered to select a new primary.
 *
 * @param statuses the answer of each server; empty if it didn't answer
 * @param oldPrimary the primary that is being replaced
 */
record StatusPoll(
    Map<BackendServerId, ServerEntry> servers,
    Map<BackendServerId, Optional<Status>> statuses,
    BackendServerId oldPrimary) {

  static StatusPoll of(
      Map<BackendServerId, ServerEntry> servers,
      Map<BackendServerId, Optional<Status>> statuses,
      BackendServerId oldPrimary) {
    return new StatusPoll(Map.copyOf(servers), Map.copyOf(statuses), oldPrimary);
  }

  /**
   * Returns the server that is primary already, so that no promotion is needed: one that an earlier
   * command has promoted or, if the replacement wasn't planned, the old primary if it answers
   * again.
   */
  Optional<ServerEntry> currentPrimary(boolean planned) {
    return servers.values().stream()
        .filter(entry -> status(entry).filter(Status::primary).isPresent())
        .max(Comparator.comparingLong(entry -> status(entry).orElseThrow().term()))
        .filter(entry -> !planned || !entry.id().equals(oldPrimary));
  }

  /** Returns whether the old primary has log records that no replica has received. */
  boolean isOldPrimaryAhead() {
    Optional<TermPosition> end =
        Optional.ofNullable(servers.get(oldPrimary)).flatMap(this::status).map(Status::received);
    return end.isPresent()
        && replicas().noneMatch(entry -> status(entry).orElseThrow().received().covers(end.get()));
  }

  /**
   * Returns the replica with the longest log; empty if so few replicas answered that an
   * acknowledged commit might be missing from all of them.
   */
  Optional<ServerEntry> mostAdvanced(int synchronousReplicas) {
    long replicaCount = servers.keySet().stream().filter(id -> !id.equals(oldPrimary)).count();
    long requiredCount =
        synchronousReplicas > 0 ? Math.max(1, replicaCount - synchronousReplicas + 1) : 1;
    if (replicas().count() < requiredCount) {
      return Optional.empty();
    }
    return replicas()
        .max(
            Comparator.<ServerEntry, TermPosition>comparing(
                    entry -> status(entry).orElseThrow().received())
                .thenComparing(ServerEntry::id));
  }

  private Stream<ServerEntry> replicas() {
    return servers.values().stream()
        .filter(entry -> !entry.id().equals(oldPrimary))
        .filter(entry -> status(entry).isPresent());
  }

  private Optional<Status> status(ServerEntry entry) {
    return statuses.getOrDefault(entry.id(), Optional.empty());
  }
}
