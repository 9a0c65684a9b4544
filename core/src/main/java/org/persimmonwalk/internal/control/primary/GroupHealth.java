package org.persimmonwalk.internal.control.primary;

import java.util.Optional;
import org.persimmonwalk.model.GroupView;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ServerRole;
import org.persimmonwalk.model.ServerSample;
import org.persimmonwalk.model.ServerView;
import org.persimmonwalk.model.Term;

/** Judges from a group's samples whether its primary is lost or a promotion was left unfinished. */
final class GroupHealth {
  /** Two fences share a server only from this size on, so smaller groups are not promoted. */
  private static final int SMALLEST_GROUP = 3;

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
  int fenceSize() {
    return group.servers().size() - 1;
  }

  boolean needsPromotion() {
    return group.servers().size() >= SMALLEST_GROUP && (isPrimaryLost() || isPromotionUnfinished());
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
   * Returns whether all servers but one report that they have no primary, and the remaining one,
   * the primary, reports the same or is out of reach.
   */
  private boolean isPrimaryLost() {
    long cutOff = group.servers().stream().filter(this::isCutOff).count();
    long lost =
        group.servers().stream()
            .filter(view -> view.isFailingFor(settings.failureTime(), now))
            .count();
    return cutOff >= fenceSize() && cutOff + lost == group.servers().size();
  }

  /**
   * Returns whether a server waits for a promotion and enough servers are in reach to finish it.
   */
  private boolean isPromotionUnfinished() {
    return unfinishedTerm().isPresent()
        && group.servers().stream().filter(this::isFresh).count() >= fenceSize();
  }

  private boolean isCutOff(ServerView view) {
    if (!isFresh(view)) {
      return false;
    }
    ServerSample sample = view.sample().get();
    if (sample.role() == ServerRole.FENCED || group.term().isAfter(sample.term())) {
      return true;
    }
    return sample.role() == ServerRole.REPLICA
        && sample.primaryContactAge().compareTo(settings.failureTime()) >= 0;
  }

  private boolean isFresh(ServerView view) {
    return view.isFresh(settings.sampleAge(), now);
  }
}
