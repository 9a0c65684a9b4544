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

/** Derives the primary and the confirmed positions of one group from its servers' samples. */
final class GroupAssessment {
  /** Enough entries for ages of a minute and more at the usual spacing. */
  private static final int HISTORY_LIMIT = 256;

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
        servers.stream().filter(view -> view.has(ServerRole.PRIMARY, term)).findFirst();
    List<ConfirmedPosition> history =
        term.equals(knownTerm) ? previous.map(GroupView::confirmed).orElse(List.of()) : List.of();
    return new GroupView(
        group.id(),
        term,
        primary.map(found -> found.server().id()),
        servers,
        confirm(history, primary),
        group.defaultMaximumAge());
  }

  /**
   * Returns the highest term in which a server is primary or replica. A replica shows a term whose
   * primary this host may never have reached. The term that a fenced server has promised does not
   * count, because it may never have a primary.
   */
  private Term findTerm(Term knownTerm) {
    return servers.stream()
        .flatMap(view -> view.sample().stream())
        .filter(sample -> sample.role() != ServerRole.FENCED)
        .map(ServerSample::term)
        .reduce(knownTerm, (first, second) -> second.isAfter(first) ? second : first);
  }

  /**
   * Adds the primary's sample to the history if a replica sample that started no earlier shows the
   * same term: a promotion fences every replica first, so the primary was current at that time.
   */
  private List<ConfirmedPosition> confirm(
      List<ConfirmedPosition> history, Optional<ServerView> primary) {
    if (primary.isEmpty() || !isCurrent(primary.get())) {
      return history;
    }
    ServerSample sample = primary.get().sample().get();
    MonotonicTime startedAt = primary.get().sampledAt();
    ConfirmedPosition confirmed =
        ConfirmedPosition.of(GroupPosition.of(sample.term(), sample.replayed()), startedAt);
    return append(history, confirmed);
  }

  private boolean isCurrent(ServerView primary) {
    Term term = primary.sample().get().term();
    return servers.size() == 1
        || servers.stream()
            .filter(view -> view.has(ServerRole.REPLICA, term))
            .anyMatch(view -> !view.sampledAt().isBefore(primary.sampledAt()));
  }

  private static List<ConfirmedPosition> append(
      List<ConfirmedPosition> history, ConfirmedPosition confirmed) {
    List<ConfirmedPosition> next = new ArrayList<>(history);
    int last = next.size() - 1;
    if (last >= 0 && !confirmed.startedAt().isAfter(next.get(last).startedAt())) {
      return history;
    }
    if (last >= 1 && isCloselySpaced(next.get(last - 1), confirmed)) {
      next.remove(last);
    }
    next.add(confirmed);
    if (next.size() > HISTORY_LIMIT) {
      next.remove(0);
    }
    return next;
  }

  private static boolean isCloselySpaced(ConfirmedPosition earlier, ConfirmedPosition later) {
    return later.startedAt().since(earlier.startedAt()).compareTo(HISTORY_SPACING) < 0;
  }
}
