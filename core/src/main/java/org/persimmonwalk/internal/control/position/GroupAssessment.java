package org.persimmonwalk.internal.control.position;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.ConfirmedPosition;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.model.GroupView;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ServerRole;
import org.persimmonwalk.model.ServerSample;
import org.persimmonwalk.model.ServerView;
import org.persimmonwalk.model.Term;

/**
 * Derives the term, the primary and the confirmed positions of one group from its servers' samples
 * and the group's view of the previous round.
 */
final class GroupAssessment {
  /** Enough entries for maximum ages of a minute and more, at the usual spacing. */
  private static final int HISTORY_LIMIT = 256;

  /** A new entry replaces the last one if it is closer than this to the entry before that. */
  private static final Duration HISTORY_SPACING = Duration.ofMillis(250);

  private final DatabaseGroup group;
  private final Optional<GroupView> previous;
  private final List<ServerView> servers;

  private GroupAssessment(
      DatabaseGroup group, Optional<GroupView> previous, List<ServerView> servers) {
    this.group = group;
    this.previous = previous;
    this.servers = servers;
  }

  static GroupAssessment of(
      DatabaseGroup group, GroupView previous, Map<BackendServerId, ServerView> servers) {
    List<ServerView> views =
        group.servers().stream().map(server -> servers.get(server.id())).toList();
    return new GroupAssessment(group, Optional.ofNullable(previous), views);
  }

  GroupView assess() {
    Term knownTerm = previous.map(GroupView::term).orElse(Term.NONE);
    Term term = findTerm(knownTerm);
    Optional<ServerView> primary =
        servers.stream().filter(view -> view.hasRole(ServerRole.PRIMARY, term)).findFirst();
    List<ConfirmedPosition> history =
        term.equals(knownTerm) ? previous.map(GroupView::confirmed).orElse(List.of()) : List.of();
    return new GroupView(
        group.id(),
        term,
        primary.map(found -> found.server().id()),
        servers,
        appendIfConfirmed(history, primary),
        group.defaultMaximumAge());
  }

  /**
   * Returns the highest term in which a server is primary or replica. Replicas count because this
   * host may never have reached the primary that they follow. The term that a fenced server has
   * promised does not count, because it may never have a primary.
   */
  private Term findTerm(Term knownTerm) {
    return servers.stream()
        .flatMap(view -> view.sample().stream())
        .filter(sample -> sample.role() != ServerRole.FENCED)
        .map(ServerSample::term)
        .reduce(knownTerm, (first, second) -> second.isAfter(first) ? second : first);
  }

  /**
   * Appends the primary's position to the history if a replica sample that started no earlier shows
   * the same term, or if the group has only one server. A promotion first fences the primary itself
   * or every replica, so the primary was current when its sample started.
   */
  private List<ConfirmedPosition> appendIfConfirmed(
      List<ConfirmedPosition> history, Optional<ServerView> primary) {
    if (primary.isEmpty() || !isConfirmed(primary.get())) {
      return history;
    }
    ServerSample sample = primary.get().sample().get();
    MonotonicTime startedAt = primary.get().sampledAt();
    ConfirmedPosition confirmed =
        ConfirmedPosition.of(GroupPosition.of(sample.term(), sample.replayed()), startedAt);
    return append(history, confirmed);
  }

  private boolean isConfirmed(ServerView primary) {
    Term term = primary.sample().get().term();
    return servers.size() == 1
        || servers.stream()
            .filter(view -> view.hasRole(ServerRole.REPLICA, term))
            .anyMatch(view -> !view.sampledAt().isBefore(primary.sampledAt()));
  }

  private static List<ConfirmedPosition> append(
      List<ConfirmedPosition> history, ConfirmedPosition confirmed) {
    List<ConfirmedPosition> next = new ArrayList<>(history);
    int last = next.size() - 1;
    if (last >= 0 && !confirmed.startedAt().isAfter(next.get(last).startedAt())) {
      return history;
    }
    if (last >= 1 && isCloserThanSpacing(next.get(last - 1), confirmed)) {
      next.remove(last);
    }
    next.add(confirmed);
    if (next.size() > HISTORY_LIMIT) {
      next.remove(0);
    }
    return next;
  }

  private static boolean isCloserThanSpacing(ConfirmedPosition earlier, ConfirmedPosition later) {
    return later.startedAt().since(earlier.startedAt()).compareTo(HISTORY_SPACING) < 0;
  }
}
