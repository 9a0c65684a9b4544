package org.persimmonwalk.internal.engine.control;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.engine.control.ServerStatusRead.Status;
import org.persimmonwalk.id.BackendServerId;

/**
 * The answers of a group's servers about their role and log, gathered to select a new primary.
 *
 * @param servers the listed servers, including those that are draining
 * @param lapsed replicas whose entry expired a short time ago; they count, but cannot be promoted
 * @param statuses the answer of each server; empty if it didn't answer
 * @param oldPrimary the primary that is being replaced
 * @param recordedTerm the term of the primary that was recorded last
 * @param cold the servers that are slow because they have just started
 */
record StatusPoll(
    Map<BackendServerId, ServerEntry> servers,
    Map<BackendServerId, ServerEntry> lapsed,
    Map<BackendServerId, Optional<Status>> statuses,
    BackendServerId oldPrimary,
    long recordedTerm,
    Set<BackendServerId> cold) {

  /** Returns a poll. Answers of other servers, such as late ones of another group, are left out. */
  static StatusPoll of(
      Map<BackendServerId, ServerEntry> servers,
      Map<BackendServerId, ServerEntry> lapsed,
      Map<BackendServerId, Optional<Status>> statuses,
      BackendServerId oldPrimary,
      long recordedTerm,
      Set<BackendServerId> cold) {
    Map<BackendServerId, Optional<Status>> own = new HashMap<>(statuses);
    own.keySet().removeIf(id -> !servers.containsKey(id) && !lapsed.containsKey(id));
    return new StatusPoll(
        Map.copyOf(servers),
        Map.copyOf(lapsed),
        Map.copyOf(own),
        oldPrimary,
        recordedTerm,
        Set.copyOf(cold));
  }

  /**
   * Returns the server that is primary already, so that no promotion is needed: one that an earlier
   * command has promoted or the old primary if it answers again. A server that leads an older term
   * than another one knows or than was recorded is no longer the primary, even if its successor
   * doesn't answer.
   */
  Optional<ServerEntry> currentPrimary(boolean oldPrimaryMayStay) {
    long newestTerm = newestTerm();
    return servers.values().stream()
        .filter(
            entry ->
                status(entry)
                    .filter(Status::primary)
                    .filter(status -> status.term() >= newestTerm)
                    .isPresent())
        .min(Comparator.comparing(ServerEntry::id))
        .filter(entry -> oldPrimaryMayStay || !entry.id().equals(oldPrimary));
  }

  /** Returns the newest term that was recorded or that a server told. */
  long newestTerm() {
    return statuses.values().stream()
        .flatMap(Optional::stream)
        .mapToLong(Status::term)
        .reduce(recordedTerm, Math::max);
  }

  /**
   * Returns whether the server's log ends in an older term than the newest one while a replica
   * didn't answer, which may have commits of the newest term.
   */
  boolean mayLackCommits(ServerEntry server) {
    return received(server).term() < newestTerm()
        && !replicas().allMatch(entry -> status(entry).isPresent());
  }

  /** Returns whether all servers of the group answered, also those that have just lapsed. */
  boolean haveAllAnswered() {
    return Stream.concat(servers.values().stream(), lapsed.values().stream())
        .allMatch(entry -> status(entry).isPresent());
  }

  /** Returns whether the old primary answered and has log records that the server lacks. */
  boolean isOldPrimaryAheadOf(ServerEntry server) {
    return oldPrimaryStatus().isPresent() && !hasLogOfOldPrimary(server);
  }

  /**
   * Returns the server to promote: the replica with the longest log. Without synchronous replicas
   * it is one that isn't draining, as it would have to be replaced again. With them, every replica
   * that may have acknowledged a commit counts, also one that is draining or has just lapsed; empty
   * if so few answered that a commit may be missing from all of them and none has the whole log of
   * the old primary, or if the one with the longest log isn't listed.
   */
  Optional<ServerEntry> mostAdvanced(int synchronousReplicas) {
    if (synchronousReplicas == 0) {
      return answered(replicas().filter(entry -> !entry.draining())).max(byLog());
    }
    Optional<ServerEntry> best =
        answered(holders()).max(byLog()).filter(entry -> servers.containsKey(entry.id()));
    long requiredCount = Math.max(1, holders().count() - synchronousReplicas + 1);
    boolean enoughAnswered = answered(holders()).count() >= requiredCount;
    return best.filter(entry -> enoughAnswered || hasLogOfOldPrimary(entry));
  }

  /** Returns whether a replica answered that can stay the primary. */
  boolean hasLastingReplica() {
    return answered(replicas()).anyMatch(entry -> !entry.draining());
  }

  /**
   * Returns the server whose promotion was ordered before and may still take effect. Ordering it
   * again is safe, while another one would be promoted in addition.
   *
   * @param best the server with the longest log, which replaces the ordered one with synchronous
   *     replicas if that one lacks a part of it
   */
  Optional<ServerEntry> orderedBefore(
      PromotionRecord record, long leadershipVersion, int synchronousReplicas, ServerEntry best) {
    return answered(replicas())
        .filter(entry -> record.isOrdered(leadershipVersion, entry))
        .filter(entry -> synchronousReplicas == 0 || received(entry).covers(received(best)))
        .findFirst();
  }

  private boolean hasLogOfOldPrimary(ServerEntry server) {
    return oldPrimaryStatus().filter(old -> received(server).covers(old.received())).isPresent();
  }

  private Optional<Status> oldPrimaryStatus() {
    return Optional.ofNullable(servers.get(oldPrimary)).flatMap(this::status);
  }

  /** Orders servers by their log; of equal ones the server that can stay the primary is last. */
  private Comparator<ServerEntry> byLog() {
    return Comparator.comparing(this::received)
        .thenComparing(entry -> servers.containsKey(entry.id()))
        .thenComparing(entry -> !entry.draining())
        .thenComparing(entry -> !cold.contains(entry.id()))
        .thenComparing(ServerEntry::id);
  }

  /** Returns the replicas that may hold acknowledged commits. */
  private Stream<ServerEntry> holders() {
    return Stream.concat(replicas(), lapsed.values().stream());
  }

  private Stream<ServerEntry> replicas() {
    return servers.values().stream().filter(entry -> !entry.id().equals(oldPrimary));
  }

  private Stream<ServerEntry> answered(Stream<ServerEntry> entries) {
    return entries.filter(entry -> status(entry).isPresent());
  }

  private TermPosition received(ServerEntry entry) {
    return status(entry).orElseThrow().received();
  }

  private Optional<Status> status(ServerEntry entry) {
    return statuses.getOrDefault(entry.id(), Optional.empty());
  }
}
