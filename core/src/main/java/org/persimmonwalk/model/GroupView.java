package org.persimmonwalk.model;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;

/**
 * An entry host's knowledge of a database group, from the configuration and the samples of its
 * servers. The control thread updates it; requests are routed by it from a snapshot.
 *
 * @param id the group
 * @param term the highest term in which a server was seen as primary or replica
 * @param primary the primary of that term, if a sample showed one
 * @param servers all configured servers
 * @param confirmed confirmed positions of the current term, oldest first
 * @param defaultMaximumAge the maximum age of the data that a read accepts if it states none
 */
public record GroupView(
    DatabaseGroupId id,
    Term term,
    Optional<BackendServerId> primary,
    List<ServerView> servers,
    List<ConfirmedPosition> confirmed,
    Duration defaultMaximumAge) {

  /** Copies the lists. */
  public GroupView {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(term, "term");
    Objects.requireNonNull(primary, "primary");
    servers = List.copyOf(servers);
    confirmed = List.copyOf(confirmed);
    Objects.requireNonNull(defaultMaximumAge, "defaultMaximumAge");
  }

  /** Returns the view of the given server, if it is in the group. */
  public Optional<ServerView> server(BackendServerId server) {
    return servers.stream().filter(view -> view.server().id().equals(server)).findFirst();
  }

  /** Returns the view of the primary, if one is known. */
  public Optional<ServerView> primaryView() {
    return primary.flatMap(this::server);
  }

  /** Returns the newest confirmed position, if there is one. */
  public Optional<ConfirmedPosition> newestConfirmed() {
    return confirmed.isEmpty()
        ? Optional.empty()
        : Optional.of(confirmed.get(confirmed.size() - 1));
  }

  /**
   * Returns whether a replica in the term of the position has received it. A write at that position
   * survives every promotion: a promotion fences at least all servers but one, so at least one that
   * has the write, and promotes the one with the most advanced log.
   */
  public boolean isReceivedByReplica(GroupPosition written) {
    return servers.stream()
        .filter(view -> view.hasRole(ServerRole.REPLICA, written.term()))
        .anyMatch(view -> view.sample().get().received().covers(written.position()));
  }
}
