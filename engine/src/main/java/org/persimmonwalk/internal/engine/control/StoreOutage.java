package org.persimmonwalk.internal.engine.control;

import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.engine.control.LargeAnswerStarted;
import org.persimmonwalk.engine.control.TransactionAnswered;

/** Tells from the ends of this host's calls whether the store is down for it. */
final class StoreOutage {
  /** A single answer may be lost while the store works. */
  private static final int CALLS_IN_A_ROW = 2;

  private int unanswered;

  /** Counts the calls that have ended in this round. */
  void update(Blackboard blackboard) {
    blackboard.observations(TransactionAnswered.class).forEach(this::record);
    blackboard.observations(LargeAnswerStarted.class).forEach(started -> unanswered = 0);
  }

  private void record(TransactionAnswered ended) {
    boolean isAnswered = ended.isAnswered() || ended.time().isPresent();
    unanswered = isAnswered ? 0 : unanswered + 1;
  }

  /**
   * Returns whether the store is down.
   *
   * @param isVerified whether this host or its relay has verified the control state lately; without
   *     that, one call without an answer suffices
   */
  boolean isDown(boolean isVerified) {
    return unanswered >= (isVerified ? CALLS_IN_A_ROW : 1);
  }
}
