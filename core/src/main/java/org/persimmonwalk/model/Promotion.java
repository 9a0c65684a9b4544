package org.persimmonwalk.model;

import java.util.Objects;
import java.util.Optional;
import org.persimmonwalk.id.DatabaseGroupId;

/**
 * The state of one group's promotion at this host.
 *
 * @param group the group
 * @param step what the host is doing
 * @param term the term that this host last used, {@link Term#NONE} before its first attempt
 * @param highestTerm the highest term that this host has seen or used
 * @param rival the newest promotion by another host, if one was seen
 * @param claimVersion the version of the claim row that this host wrote, if it did
 * @param attempts how often this host has backed off since the group was last in order
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
   * A promotion by another host.
   *
   * @param term the term that the other host uses
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

  /** Returns the state of a group in which nothing has happened. */
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

  /** Returns whether nothing needs to be remembered for the group. */
  public boolean isIdle() {
    return step instanceof PromotionStep.Watching && rival.isEmpty();
  }

  /** Returns the state with another step. */
  public Promotion withStep(PromotionStep next) {
    return new Promotion(group, next, term, highestTerm, rival, claimVersion, attempts);
  }

  /** Returns the state after a term was seen. */
  public Promotion withSeen(Term seen) {
    return seen.isAfter(highestTerm)
        ? new Promotion(group, step, term, seen, rival, claimVersion, attempts)
        : this;
  }

  /** Returns the state after a term of another host's promotion was seen. */
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

  /** Returns the state without a rival. */
  public Promotion withoutRival() {
    return new Promotion(group, step, term, highestTerm, Optional.empty(), claimVersion, attempts);
  }

  /** Returns the state after the claim row was written. */
  public Promotion withClaim(RowVersion version) {
    return new Promotion(group, step, term, highestTerm, rival, Optional.of(version), attempts);
  }

  /** Returns the state that begins an attempt in the term after the highest one. */
  public Promotion withNextTerm() {
    Term next = highestTerm.next();
    return new Promotion(group, step, next, next, rival, claimVersion, attempts);
  }

  /** Returns the state after one more attempt was given up. */
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
