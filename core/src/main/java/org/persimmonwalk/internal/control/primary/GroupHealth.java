package org.persimmonwalk.internal.control.primary;

import java.util.Optional;
import org.persimmonwalk.model.GroupView;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ServerRole;
import org.persimmonwalk.model.ServerSample;
import org.persimmonwalk.model.ServerView;
import org.persimmonwalk.model.Term;

/**
 * Decides from a group's samples whether the group needs a promotion: because its primary has
 * failed, or because an earlier promotion was not finished.
 */
final class GroupHealth {
  /**
   * Smaller groups are not promoted: two promotions that each fence all servers but one are sure to
   * fence a server in common only in groups of at least 3.
   */
  private static final int MIN_GROUP_SIZE = 3;

  private final GroupView group;
  private final PromotionSettings settings;
  private final MonotonicTime now;

  private GroupHealth(GroupView group, PromotionSettings settings, MonotonicTime now) {
    this.group = group;
    this.settings = settings;
    this.now = now;
  }

  static GroupHealth of(GroupView group, PromotionSettings settings, MonotonicTime now) {
    return new GroupHealth(group, settings, now);
  }

  /** Returns how many servers must be fenced before one is promoted: all but one. */
  int requiredFences() {
    return group.servers().size() - 1;
  }

  boolean needsPromotion() {
    return group.servers().size() >= MIN_GROUP_SIZE && (isPrimaryLost() || isPromotionUnfinished());
  }

  /** Returns the highest term above the group's that a server has promised, if there is one. */
  Optional<Term> unfinishedTerm() {
    return group.servers().stream()
        .flatMap(view -> view.sample().stream())
        .filter(sample -> sample.role() == ServerRole.FENCED)
        .map(ServerSample::term)
        .filter(term -> term.isAfter(group.term()))
        .max(Term::compareTo);
  }

  /**
   * Returns whether at least all servers but one report that they have no primary, and the
   * remaining one, if any, is unreachable.
   */
  private boolean isPrimaryLost() {
    long withoutPrimary = group.servers().stream().filter(this::hasNoPrimary).count();
    long unreachable =
        group.servers().stream()
            .filter(view -> view.isFailingFor(settings.failureTimeout(), now))
            .count();
    return withoutPrimary >= requiredFences()
        && withoutPrimary + unreachable == group.servers().size();
  }

  /**
   * Returns whether a server is fenced in a term above the group's, and enough servers are
   * reachable to finish a promotion.
   */
  private boolean isPromotionUnfinished() {
    return unfinishedTerm().isPresent()
        && group.servers().stream().filter(this::isFresh).count() >= requiredFences();
  }

  /**
   * Returns whether a fresh sample shows that the server has no working primary: it is fenced, in a
   * lower term than the group, or a replica that had no contact with the primary for the failure
   * timeout.
   */
  private boolean hasNoPrimary(ServerView view) {
    if (!isFresh(view)) {
      return false;
    }
    ServerSample sample = view.sample().get();
    if (sample.role() == ServerRole.FENCED || group.term().isAfter(sample.term())) {
      return true;
    }
    return sample.role() == ServerRole.REPLICA
        && sample.primaryContactAge().compareTo(settings.failureTimeout()) >= 0;
  }

  private boolean isFresh(ServerView view) {
    return view.isFresh(settings.maxSampleAge(), now);
  }
}
