package org.persimmonwalk.internal.engine.control;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.engine.control.ServerStatusRead.Status;
import org.persimmonwalk.id.BackendServerId;

/** What the servers of a group say of themselves when its primary is replaced. */
record Survey(
    Map<BackendServerId, ServerEntry> servers,
    Map<BackendServerId, Optional<Status>> answers,
    BackendServerId old) {

  static Survey of(
      Map<BackendServerId, ServerEntry> servers,
      Map<BackendServerId, Optional<Status>> answers,
      BackendServerId old) {
    return new Survey(Map.copyOf(servers), Map.copyOf(answers), old);
  }

  /**
   * Returns the server that leads already, so that no promotion is needed: one that an earlier
   * order has promoted, or, if its replacement was not planned, the old one if it answers again.
   */
  Optional<ServerEntry> leader(boolean planned) {
    return servers.values().stream()
        .filter(entry -> status(entry).filter(Status::primary).isPresent())
        .max(Comparator.comparingLong(entry -> status(entry).orElseThrow().term()))
        .filter(entry -> !planned || !entry.id().equals(old));
  }

  /** Returns whether the old primary has log records that no replica has received. */
  boolean oldIsAhead() {
    Optional<TermPosition> end =
        Optional.ofNullable(servers.get(old)).flatMap(this::status).map(Status::received);
    return end.isPresent()
        && replicas().noneMatch(entry -> status(entry).orElseThrow().received().covers(end.get()));
  }

  /**
   * Returns the replica with the longest log; empty if so few answered that an acknowledged commit
   * might be on none of them.
   */
  Optional<ServerEntry> mostAdvanced(int synchronousReplicas) {
    long known = servers.keySet().stream().filter(id -> !id.equals(old)).count();
    long needed = synchronousReplicas > 0 ? Math.max(1, known - synchronousReplicas + 1) : 1;
    if (replicas().count() < needed) {
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
        .filter(entry -> !entry.id().equals(old))
        .filter(entry -> status(entry).isPresent());
  }

  private Optional<Status> status(ServerEntry entry) {
    return answers.getOrDefault(entry.id(), Optional.empty());
  }
}
