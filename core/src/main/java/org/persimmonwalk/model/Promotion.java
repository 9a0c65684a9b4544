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
 * @param competing the competing promotion with the highest term, if another host started one
 * @param claimVersion the version of the claim row that this host has written, if any
 * @param backoffs the number of times that this host has backed off since the state was last idle
 */
public record Promotion(
    DatabaseGroupId group,
    PromotionStep step,
    Term term,
    Term highestTerm,
    Optional<CompetingPromotion> competing,
    Optional<RowVersion> claimVersion,
    int backoffs) {

  /**
   * A competing promotion by another host.
   *
   * @param term the term of that promotion
   * @param seenAt when this host first saw the term
   */
  public record CompetingPromotion(Term term, MonotonicTime seenAt) {
    /** Checks that both parts are present. */
    public CompetingPromotion {
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
    Objects.requireNonNull(competing, "competing");
    Objects.requireNonNull(claimVersion, "claimVersion");
  }

  /** Returns the state of a group that needs no promotion. */
  public static Promotion idle(DatabaseGroupId group) {
    return new Promotion(
        group,
        new PromotionStep.Idle(),
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
    return step instanceof PromotionStep.Idle && competing.isEmpty();
  }

  /** Returns the state with the given step. */
  public Promotion withStep(PromotionStep next) {
    return new Promotion(group, next, term, highestTerm, competing, claimVersion, backoffs);
  }

  /** Returns the state after the given term was seen on a server or in the claim row. */
  public Promotion withSeenTerm(Term seen) {
    return seen.isAfter(highestTerm)
        ? new Promotion(group, step, term, seen, competing, claimVersion, backoffs)
        : this;
  }

  /** Returns the state after a competing promotion in the given term was seen. */
  public Promotion withCompeting(Term seen, MonotonicTime now) {
    boolean known = competing.isPresent() && !seen.isAfter(competing.get().term());
    return known
        ? this
        : new Promotion(
            group,
            step,
            term,
            highestTerm,
            Optional.of(new CompetingPromotion(seen, now)),
            claimVersion,
            backoffs);
  }

  /** Returns the state without a competing promotion. */
  public Promotion withoutCompeting() {
    return new Promotion(group, step, term, highestTerm, Optional.empty(), claimVersion, backoffs);
  }

  /** Returns the state after this host wrote the claim row. */
  public Promotion withClaim(RowVersion version) {
    return new Promotion(group, step, term, highestTerm, competing, Optional.of(version), backoffs);
  }

  /** Returns the state of a new attempt, in the term after the highest one seen. */
  public Promotion withNextTerm() {
    Term next = highestTerm.next();
    return new Promotion(group, step, next, next, competing, claimVersion, backoffs);
  }

  /** Returns the state after an attempt was given up, with backoff until the given time. */
  public Promotion withBackoff(MonotonicTime until) {
    return new Promotion(
        group,
        new PromotionStep.BackingOff(until),
        term,
        highestTerm,
        competing,
        Optional.empty(),
        backoffs + 1);
  }
}
