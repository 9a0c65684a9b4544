package org.persimmonwalk.model;

import java.util.Objects;
import java.util.Optional;
import org.persimmonwalk.id.DatabaseGroupId;

/**
 * The state of this host's attempts to promote a new primary in one database group.
 *
 * @param group the group
 * @param step the current step of the promotion
 * @param term the term of the last attempt of this host, {@link Term#NONE} before the first
 * @param highestTerm the highest term that this host has seen or used
 * @param rival the competing promotion with the highest term, if another host started one
 * @param claimVersion the version of the claim row that this host has written, if any
 * @param attempts the number of times that this host has backed off since the state was last idle
 */
public record Promotion(
    DatabaseGroupId group,
    PromotionStep step,
    Term term,
    Term highestTerm,
    Optional<Rival> rival,
    Optional<RowVersion> claimVersion,
    int attempts) {

  /**
   * A competing promotion by another host.
   *
   * @param term the term of that promotion
   * @param seenAt when this host first saw the term
   */
  public record Rival(Term term, MonotonicTime seenAt) {
    /** Checks that both parts are present. */
    public Rival {
      Objects.requireNonNull(term, "term");
      Objects.requireNonNull(seenAt, "seenAt");
    }
  }

  /** Checks that all parts are present. */
  public Promotion {
    Objects.requireNonNull(group, "group");
    Objects.requireNonNull(step, "step");
    Objects.requireNonNull(term, "term");
    Objects.requireNonNull(highestTerm, "highestTerm");
    Objects.requireNonNull(rival, "rival");
    Objects.requireNonNull(claimVersion, "claimVersion");
  }

  /** Returns the state of a group that needs no promotion. */
  public static Promotion idle(DatabaseGroupId group) {
    return new Promotion(
        group,
        new PromotionStep.Watching(),
        Term.NONE,
        Term.NONE,
        Optional.empty(),
        Optional.empty(),
        0);
  }

  /**
   * Returns whether no promotion is in progress, at this host or at another, so that the state can
   * be removed.
   */
  public boolean isIdle() {
    return step instanceof PromotionStep.Watching && rival.isEmpty();
  }

  /** Returns the state with the given step. */
  public Promotion withStep(PromotionStep next) {
    return new Promotion(group, next, term, highestTerm, rival, claimVersion, attempts);
  }

  /** Returns the state after the given term was seen on a server or in the claim row. */
  public Promotion withSeen(Term seen) {
    return seen.isAfter(highestTerm)
        ? new Promotion(group, step, term, seen, rival, claimVersion, attempts)
        : this;
  }

  /** Returns the state after a competing promotion in the given term was seen. */
  public Promotion withRival(Term seen, MonotonicTime now) {
    boolean known = rival.isPresent() && !seen.isAfter(rival.get().term());
    return known
        ? this
        : new Promotion(
            group,
            step,
            term,
            highestTerm,
            Optional.of(new Rival(seen, now)),
            claimVersion,
            attempts);
  }

  /** Returns the state without a competing promotion. */
  public Promotion withoutRival() {
    return new Promotion(group, step, term, highestTerm, Optional.empty(), claimVersion, attempts);
  }

  /** Returns the state after this host wrote the claim row. */
  public Promotion withClaim(RowVersion version) {
    return new Promotion(group, step, term, highestTerm, rival, Optional.of(version), attempts);
  }

  /** Returns the state of a new attempt, in the term after the highest one seen. */
  public Promotion withNextTerm() {
    Term next = highestTerm.next();
    return new Promotion(group, step, next, next, rival, claimVersion, attempts);
  }

  /** Returns the state after an attempt was given up, with backoff until the given time. */
  public Promotion backedOff(MonotonicTime until) {
    return new Promotion(
        group,
        new PromotionStep.BackingOff(until),
        term,
        highestTerm,
        rival,
        Optional.empty(),
        attempts + 1);
  }
}
