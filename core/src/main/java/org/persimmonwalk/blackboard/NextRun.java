package org.persimmonwalk.blackboard;

import java.time.Duration;
import java.util.Optional;
import org.persimmonwalk.model.MonotonicTime;

/**
 * When a controller must run next although none of its inputs changes.
 *
 * @param at the time; empty if it need not run before an input changes. A time that has passed asks
 *     for a run in the next round, and for a round after the usual interval.
 */
public record NextRun(Optional<MonotonicTime> at) {
  private static final NextRun ON_INPUT = new NextRun(Optional.empty());

  /** Returns that the controller need not run before one of its inputs changes. */
  public static NextRun onInput() {
    return ON_INPUT;
  }

  /**
   * Returns that the controller must run in the next round, for example while a step is pending.
   */
  public static NextRun inNextRound(MonotonicTime now) {
    return new NextRun(Optional.of(now));
  }

  /** Returns that the controller must run at the given time. */
  public static NextRun at(MonotonicTime time) {
    return new NextRun(Optional.of(time));
  }

  /** Returns the earlier one of this time and the given one. */
  public NextRun orAt(MonotonicTime time) {
    return at.isPresent() && !time.isBefore(at.get()) ? this : at(time);
  }

  /** Returns the earlier one of this time and the end of the interval, unless that has passed. */
  public NextRun orAfter(MonotonicTime start, Duration interval, MonotonicTime now) {
    MonotonicTime end = start.plus(interval);
    return now.isBefore(end) ? orAt(end) : this;
  }

  /** Returns whether the controller must run in a round at the given time. */
  boolean isDue(MonotonicTime now) {
    return at.isPresent() && !now.isBefore(at.get());
  }
}
